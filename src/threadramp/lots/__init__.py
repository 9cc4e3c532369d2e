"""Lots that outlast their process: hand-in, samples, results, end."""
