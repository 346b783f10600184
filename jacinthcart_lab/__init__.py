"""Launcher, demo and bench; not a part of the product."""
