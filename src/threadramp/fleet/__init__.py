"""A process's view of the fleet: configuration, endpoints, members and weight versions."""
