"""Reads JSON messages over HTTP and counts the bytes received."""

from typing import Any

from jacinthcart.errors import WireError
from jacinthcart.telemetry import Metrics
from jacinthcart.wire import ConnectionPool, decode_json


async def read_json(
    pool: ConnectionPool,
    target: str,
    timeout_s: float,
    metrics: Metrics,
) -> Any:
    """Return the decoded body of a GET response.

    Raise WireError when the call fails, takes longer than `timeout_s` or
    returns a status other than 200, and InvalidMessageError for invalid
    JSON.
    """
    try:
        response = await pool.call('GET', target, timeout_s=timeout_s)
    except TimeoutError as error:
        raise WireError(f'GET {target}: timeout') from error
    if not response.is_success:
        raise WireError(f'GET {target}: status {response.status}')
    metrics.count('bytes', 'http_received', amount=len(response.body))
    return decode_json(response.body)
