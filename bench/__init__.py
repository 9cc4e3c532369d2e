"""Load programs and slope measurements."""
