"""State machines without I/O, clocks or threads: callers pass in events and the current time."""
