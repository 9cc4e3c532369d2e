"""The work beside an endpoint: running samples and changing weights."""
