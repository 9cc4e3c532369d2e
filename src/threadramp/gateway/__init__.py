"""The gateway daemon: HTTP for callers, trainers and operators."""
