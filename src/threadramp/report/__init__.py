"""Counters, histograms and the service-level burn report."""
