"""Stand-ins that speak the platform's side of what the adapter translates; for tests and demos."""
