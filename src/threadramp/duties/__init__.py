"""Duties: fleet-wide tasks that one gateway at a time performs."""
