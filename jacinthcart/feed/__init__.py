"""Entry's and gather's view of control: settings, rights, serving lease."""

from jacinthcart.feed._feed import (
    CLOCK_RATE_MARGIN,
    StateFeed,
    WarmEntry,
    decode_warm_entries,
)

__all__ = [
    'CLOCK_RATE_MARGIN',
    'StateFeed',
    'WarmEntry',
    'decode_warm_entries',
]
