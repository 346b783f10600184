"""Posts changes and faults to the emulated configuration service."""

import sys
from typing import Any

import httpx
import orjson

from jacinthcart_lab._emulators import CALL_TIMEOUT_S


def post_to_service(service: str, name: str, message: dict[str, Any]) -> int:
    """Post to `/emulator/<name>` and return the exit code.

    `service` is the `ADDRESS:PORT` of the configuration service.
    """
    try:
        response = httpx.post(
            f'http://{service}/emulator/{name}',
            content=orjson.dumps(message),
            timeout=CALL_TIMEOUT_S,
        ).raise_for_status()
    except httpx.HTTPError as error:
        sys.stderr.write(f'{service}: {error!r}\n')
        return 1
    sys.stdout.write(f'{response.text}\n')
    return 0
