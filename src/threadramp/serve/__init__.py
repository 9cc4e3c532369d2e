"""The processes that run on the users' platform: one module per role, and what they share."""
