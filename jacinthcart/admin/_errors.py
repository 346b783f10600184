"""Errors of the command-line tool and their exit codes."""

import enum

from jacinthcart.errors import JacinthcartError


class ExitCode(enum.IntEnum):
    """Exit codes of all subcommands; scripts depend on them."""

    SUCCESS = 0
    FAILURE = 1
    INVALID = 2
    UNREACHABLE = 3
    TIMED_OUT = 4


class CommandError(JacinthcartError):
    """A subcommand failed; `code` is the exit code."""

    def __init__(self, code: ExitCode, detail: str) -> None:
        """Create an error with an exit code and a message."""
        super().__init__(detail)
        self.code = code
