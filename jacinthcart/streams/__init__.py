"""Detects stream connections that failed or must not be reused."""

from jacinthcart.streams._idle import (
    STREAM_FAILURES,
    count_queue_bytes,
    is_closed_by_peer,
    is_readable,
)

__all__ = [
    'STREAM_FAILURES',
    'count_queue_bytes',
    'is_closed_by_peer',
    'is_readable',
]
