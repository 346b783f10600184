"""Emulators of the external systems that jacinthcart depends on."""

from jacinthcart_emulator._corpus import (
    HITS_PER_SHARD,
    compute_hits,
    merge_hits,
)
from jacinthcart_emulator._models import (
    ConfigFault,
    ConfigPut,
    SearcherFault,
    SearcherSpec,
    SearchersFile,
)

__all__ = [
    'HITS_PER_SHARD',
    'ConfigFault',
    'ConfigPut',
    'SearcherFault',
    'SearcherSpec',
    'SearchersFile',
    'compute_hits',
    'merge_hits',
]
