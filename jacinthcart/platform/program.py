"""The program that runs on each VM of the users' platform."""

import functools
import sys

import anyio

from jacinthcart.errors import SettingsError
from jacinthcart.node import run_node
from jacinthcart.platform.assembly import create_node
from jacinthcart.platform.settings_file import load_settings
from jacinthcart.telemetry import (
    NonBlockingOutput,
    create_logger,
    start_logging,
)

_EXIT_SETTINGS = 2
#: Longest time in seconds to write the last log lines.
_FLUSH_TIMEOUT_S = 0.3


def main() -> None:
    """Run until a stop signal; exit with code 2 for invalid settings."""
    output = NonBlockingOutput(sys.stdout)
    start_logging(output=output)
    try:
        settings = load_settings()
    except SettingsError as error:
        create_logger('node').error('invalid settings', error=str(error))
        output.close(_FLUSH_TIMEOUT_S)
        sys.exit(_EXIT_SETTINGS)
    node, servers = create_node(settings)
    run = functools.partial(
        run_node, node, servers, load_settings=load_settings
    )
    anyio.run(run)
    output.close(_FLUSH_TIMEOUT_S)
