"""State that control provides to the entry and gather processes."""

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
