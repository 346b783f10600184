"""Small HTTP/1.1 helpers on asyncio streams."""

import asyncio
import dataclasses
from collections.abc import Mapping

HEAD_END = b'\r\n\r\n'


@dataclasses.dataclass(frozen=True)
class Message:
    """A request or response; header names are in lower case."""

    #: Words of the first line.
    start: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length; return None at the end of the stream.

    Raise OSError or asyncio.IncompleteReadError if it is not complete.
    """
    try:
        head = await reader.readuntil(HEAD_END)
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head[: -len(HEAD_END)].decode('latin-1').split('\r\n')
    words = [*lines[0].split(' ', 2), '', '']
    headers = {}
    for line in lines[1:]:
        name, _, content = line.partition(':')
        headers[name.strip().lower()] = content.strip()
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return Message((words[0], words[1], words[2]), headers, body)


def encode_response(
    status: int, headers: Mapping[str, str], body: bytes = b''
) -> bytes:
    """Return a response with its length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines.extend(f'{name}: {content}' for name, content in headers.items())
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body
