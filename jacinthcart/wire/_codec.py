"""JSON encoding of messages."""

from typing import Any

import orjson

from jacinthcart.errors import InvalidMessageError


def encode_json(message: Any) -> bytes:
    """Return the UTF-8 JSON encoding of a message."""
    return orjson.dumps(message)


def decode_json(body: bytes) -> Any:
    """Return the decoded JSON message; raise InvalidMessageError."""
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise InvalidMessageError(f'invalid JSON: {error}') from error
