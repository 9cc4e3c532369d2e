"""Command line: one module a command, registered with the application."""
