"""State that the entry and gather processes receive from control."""

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
