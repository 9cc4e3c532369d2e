"""Pure decisions that the core asks: routing, placement, retries, staleness."""
