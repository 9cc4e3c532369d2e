"""Lots stored independently of the process that runs them: submission, samples, results, end."""
