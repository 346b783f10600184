"""What connections of every kind have in common."""

from jacinthcart.streams._idle import STREAM_FAILURES, is_readable

__all__ = ['STREAM_FAILURES', 'is_readable']
