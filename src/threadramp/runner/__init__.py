"""Runs samples at an engine and loads published weight versions into it."""
