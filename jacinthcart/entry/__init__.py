"""The entry program: HTTP API for callers, key checks and admission.

It forwards admitted requests to a gather process.
"""

from jacinthcart.entry._app import EntryApp, EntryComponents
from jacinthcart.entry._permits import (
    BasePermitSource,
    ControlPermitSource,
)
from jacinthcart.entry._program import build_components, run_entry

__all__ = [
    'BasePermitSource',
    'ControlPermitSource',
    'EntryApp',
    'EntryComponents',
    'build_components',
    'run_entry',
]
