"""What one process believes about the fleet: configuration, endpoints, members, weights."""
