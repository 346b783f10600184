"""Failure tests of the whole system with real processes."""
