"""Adapter to the users' platform: translation only.

Nothing outside this package knows the platform's names; nothing outside it
but the program's entry point imports it.
"""
