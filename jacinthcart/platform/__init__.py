"""Adapter to the users' platform: translates between data formats.

Names of the platform are used only in this package, and only the entry
point of the program imports it.
"""
