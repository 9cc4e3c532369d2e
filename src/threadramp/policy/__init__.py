"""Decisions without I/O: routing, placement, retries, scaling, crash handling and schedules."""
