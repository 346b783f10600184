"""Streams: failed or used connections, the cost of reading long messages."""

from jacinthcart.streams._accepted import AcceptedStream, accept
from jacinthcart.streams._connected import connect
from jacinthcart.streams._idle import (
    STREAM_FAILURES,
    count_queue_bytes,
    is_closed_by_peer,
    is_readable,
)
from jacinthcart.streams._listening import listen
from jacinthcart.streams._processing import (
    COPY_SLICE_BYTES,
    SLICE_BYTES,
    MessageProcessing,
    ProcessingBudget,
    ProcessingParameters,
)
from jacinthcart.streams._receive_buffer import (
    RECEIVE_BUFFER_BYTES,
    limit_receive_buffer,
)

__all__ = [
    'COPY_SLICE_BYTES',
    'RECEIVE_BUFFER_BYTES',
    'SLICE_BYTES',
    'STREAM_FAILURES',
    'AcceptedStream',
    'MessageProcessing',
    'ProcessingBudget',
    'ProcessingParameters',
    'accept',
    'connect',
    'count_queue_bytes',
    'is_closed_by_peer',
    'is_readable',
    'limit_receive_buffer',
    'listen',
]
