"""Runs one subcommand and turns its errors into exit codes."""

from collections.abc import Awaitable, Callable

import anyio

from jacinthcart.admin._errors import CommandError, ExitCode
from jacinthcart.admin._output import leave, print_error


def run_command(command: Callable[[], Awaitable[ExitCode]]) -> None:
    """Run a subcommand; end the program with its exit code."""
    try:
        code = anyio.run(command)
    except CommandError as error:
        print_error(f'error: {error}')
        code = error.code
    except KeyboardInterrupt:
        code = ExitCode.FAILURE
    leave(code)
