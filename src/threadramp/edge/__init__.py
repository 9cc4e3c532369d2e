"""The HTTP side of a gateway: callers' requests and trainers' calls about lots."""
