"""Warm-up state of searchers: merging of warm table entries, and ramps.

A ramp raises the number of requests that a cold searcher may receive.
"""

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
