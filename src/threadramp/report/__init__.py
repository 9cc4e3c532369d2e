"""Logs, metrics, reports on error budget burn, and facts for an operator's ``Inspect`` request."""
