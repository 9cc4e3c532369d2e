"""The sidecar daemon: the only way to its endpoint."""
