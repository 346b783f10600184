"""Command-line tool `jacinthcart` for operators.

It validates settings, follows their changes, and reports the status, requests
and latency of the VMs. The subcommands `trace`, `vms` and `vm-explain` are for
VMs that run `jacinthcart.node`; those that query VMs or settings are for VMs
that run entry, gather and control.
"""

from jacinthcart.admin._command import main

__all__ = ['main']
