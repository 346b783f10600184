"""The entry program: callers' interface, keys, admission, answers."""

from jacinthcart.entry._app import EntryApp, EntryParts
from jacinthcart.entry._permits import (
    BasePermitSource,
    ControlPermitSource,
)
from jacinthcart.entry._program import build_parts, run_entry

__all__ = [
    'BasePermitSource',
    'ControlPermitSource',
    'EntryApp',
    'EntryParts',
    'build_parts',
    'run_entry',
]
