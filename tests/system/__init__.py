"""Fault tests of the complete system with real processes."""
