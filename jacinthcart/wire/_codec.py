"""JSON encoding of messages."""

import math
import re
from typing import Any

import orjson

from jacinthcart.errors import InvalidMessageError

#: Bytes of the objects that one element of a message may become. An empty
#: object with its place in a list takes 72, a member with a name of its own
#: up to 240.
_ELEMENT_BYTES = 256
#: Each element but the first begins after one of these.
_ELEMENT_STARTS = (b',', b'[', b'{')
#: Begins the escape sequence of a character outside ASCII.
_ESCAPE = r'\u'.encode()
#: A string with a character outside ASCII or an escape sequence of one, after
#: strings without. Possessive quantifiers keep it from being searched in
#: quadratic time.
_WIDE_STRING = re.compile(
    rb'(?:[^"]++|"(?:[\x00-!#-\[\]-\x7f]++|\\[\x00-tv-\x7f])*+")*+'
    rb'"((?:[^"\\]++|\\.)*+)"',
    re.DOTALL,
)
#: Characters for which CPython takes four bytes for each character of a text,
#: and those for which it takes two. Half of a surrogate pair may stand in an
#: escape sequence.
_FOUR_BYTES = re.compile(rb'[\xf0-\xff]|\\u[dD][89abAB]')
_TWO_BYTES = re.compile(rb'[\xc4-\xef]|\\u(?!00)')
#: Bytes after the first one of a character in UTF-8.
_CONTINUATION_BYTES = bytes(range(0x80, 0xC0))
#: Bytes of a text that are copied at once to count its characters.
_PART_BYTES = 65536
#: Texts outside ASCII that are looked at one by one, as the event loop waits.
_MAX_WIDE_STRINGS = 10_000
#: Bytes that a byte of any text adds at most, as a part of a wide one.
_MAX_ADDED_BYTES = 3
#: Bytes that the object of a text outside ASCII takes more than another one.
_WIDE_STRING_BYTES = 32


def encode_json(message: Any) -> bytes:
    """Return the UTF-8 JSON encoding of a message."""
    return orjson.dumps(message)


def decode_json(
    body: bytes | bytearray, max_decoded_bytes: int | None = None
) -> Any:
    """Return the decoded JSON message; raise InvalidMessageError.

    A message whose objects may take more than `max_decoded_bytes` bytes is
    refused before any of them is created.
    """
    if (
        max_decoded_bytes is not None
        and estimate_decoded_bytes(body, max_decoded_bytes) > max_decoded_bytes
    ):
        raise InvalidMessageError('message would take too much memory')
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        reason = str(error)
    # Raised here, because the error of the decoder keeps the whole message.
    raise InvalidMessageError(f'invalid JSON: {reason}')


def estimate_decoded_bytes(
    body: bytes | bytearray, limit_bytes: float = math.inf
) -> int:
    """Return an upper bound of the bytes of a JSON message's objects.

    An estimate above `limit_bytes` may be too low, as it is not completed.
    """
    elements = 1 + sum(body.count(start) for start in _ELEMENT_STARTS)
    estimate = len(body) + elements * _ELEMENT_BYTES
    if body.isascii() and _ESCAPE not in body:
        return estimate
    end = 0
    for _ in range(_MAX_WIDE_STRINGS):
        if estimate > limit_bytes:
            return estimate
        found = _WIDE_STRING.match(body, end)
        if found is None:
            return estimate
        estimate += _compute_added_bytes(body, *found.span(1))
        end = found.end()
    # Others count as if each of their bytes were a character of four bytes.
    estimate += (len(body) - end) * _MAX_ADDED_BYTES
    return min(
        estimate,
        len(body) * (1 + _MAX_ADDED_BYTES) + elements * _ELEMENT_BYTES,
    )


def _compute_added_bytes(body: bytes | bytearray, start: int, end: int) -> int:
    """Return the bytes that a text takes beyond those of its encoding."""
    character_bytes = 1
    if _FOUR_BYTES.search(body, start, end):
        character_bytes = 4
    elif _TWO_BYTES.search(body, start, end):
        character_bytes = 2
    characters = sum(
        _count_characters(body[part : min(part + _PART_BYTES, end)])
        for part in range(start, end, _PART_BYTES)
    )
    added_bytes = max(0, characters * character_bytes - (end - start))
    return added_bytes + _WIDE_STRING_BYTES


def _count_characters(part: bytes | bytearray) -> int:
    return len(part.translate(None, _CONTINUATION_BYTES))
