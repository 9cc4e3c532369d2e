"""State machines without I/O, clock or threads."""
