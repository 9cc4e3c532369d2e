"""Messages between the processes and the transports that carry them."""
