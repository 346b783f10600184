"""Helpers shared by all kinds of stream connections."""

from jacinthcart.streams._idle import STREAM_FAILURES, is_readable

__all__ = ['STREAM_FAILURES', 'is_readable']
