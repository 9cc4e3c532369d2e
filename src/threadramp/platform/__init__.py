"""Clients of what the platform runs: key-value service and box list."""
