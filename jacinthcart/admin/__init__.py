"""Command-line tool `jacinthcart` for operators."""

from jacinthcart.admin._command import main

__all__ = ['main']
