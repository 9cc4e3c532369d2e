"""Duties: what one box at a time does for the whole fleet."""
