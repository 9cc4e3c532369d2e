"""The processes on the users' platform, one module a role."""
