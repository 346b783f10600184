"""Runs a subcommand and converts its errors to exit codes."""

from collections.abc import Awaitable, Callable

import anyio

from jacinthcart.admin._errors import CommandError, ExitCode
from jacinthcart.admin._output import exit_with_code, print_error


def run_command(command: Callable[[], Awaitable[ExitCode]]) -> None:
    """Run a subcommand and exit the process with its exit code."""
    try:
        code = anyio.run(command)
    except CommandError as error:
        print_error(f'error: {error}')
        code = error.code
    except KeyboardInterrupt:
        code = ExitCode.FAILURE
    exit_with_code(code)
