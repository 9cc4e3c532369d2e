"""Crowds of clients that do not behave; these tests run one at a time."""
