"""The HTTP server of a gateway: requests of callers, and calls of trainers about lots."""
