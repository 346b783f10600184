"""JSON encoding of messages."""

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
#: Bytes of a character in a text with a character of four bytes.
_WIDE_CHARACTER_BYTES = 4


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
        and estimate_decoded_bytes(body) > max_decoded_bytes
    ):
        raise InvalidMessageError('message would take too much memory')
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        reason = str(error)
    # Raised here, because the error of the decoder keeps the whole message.
    raise InvalidMessageError(f'invalid JSON: {reason}')


def estimate_decoded_bytes(body: bytes | bytearray) -> int:
    """Return an upper bound of the bytes of a JSON message's objects."""
    is_narrow = body.isascii() and _ESCAPE not in body
    elements = 1 + sum(body.count(start) for start in _ELEMENT_STARTS)
    text_bytes = len(body) * (1 if is_narrow else _WIDE_CHARACTER_BYTES)
    return text_bytes + elements * _ELEMENT_BYTES
