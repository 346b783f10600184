"""Merging of the records of several shards."""

import heapq
from collections.abc import Iterable, Iterator

#: Record size in bytes. A shorter remainder at the end of a part is ignored.
RECORD_BYTES = 16


def merge_records(parts: Iterable[bytes], top_k: int) -> bytes:
    """Return the `top_k` greatest records of all parts, greatest first.

    Records are compared as byte strings. Duplicates are kept.
    """
    records = (record for part in parts for record in _split(part))
    return b''.join(heapq.nlargest(top_k, records))


def _split(part: bytes) -> Iterator[bytes]:
    for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES):
        yield part[start : start + RECORD_BYTES]
