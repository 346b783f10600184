"""The operators' command `jacinthcart`."""

from jacinthcart.admin._command import main

__all__ = ['main']
