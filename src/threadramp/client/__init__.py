"""Client library for trainers, callers and operators."""
