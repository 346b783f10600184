"""Merging of warm table entries and the ramp of a cold searcher."""

from jacinthcart.warming._ramp import Ramp
from jacinthcart.warming._table import (
    UNKNOWN_ENTRY,
    merge_warm_entries,
    merge_warm_entry,
    start_incident,
)

__all__ = [
    'UNKNOWN_ENTRY',
    'Ramp',
    'merge_warm_entries',
    'merge_warm_entry',
    'start_incident',
]
