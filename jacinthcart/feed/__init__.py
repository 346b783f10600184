"""Entry's and gather's view of control: settings, rights, serving lease."""

from jacinthcart.feed._feed import (
    StateFeed,
    WarmEntry,
    decode_warm_entries,
)

__all__ = [
    'StateFeed',
    'WarmEntry',
    'decode_warm_entries',
]
