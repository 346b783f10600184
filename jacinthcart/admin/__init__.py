"""Command-line tool `jacinthcart` for operators.

It validates settings, follows their changes, and reports the status, requests
and latency of the VMs. It applies to the form with three programs.
"""

from jacinthcart.admin._command import main

__all__ = ['main']
