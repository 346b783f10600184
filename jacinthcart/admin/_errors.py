"""Failures of the operators' command with their exit codes."""

import enum

from jacinthcart.errors import JacinthcartError


class ExitCode(enum.IntEnum):
    """Exit codes of every subcommand; scripts rely on them."""

    SUCCESS = 0
    FAILURE = 1
    INVALID = 2
    UNREACHABLE = 3
    TIMED_OUT = 4


class CommandError(JacinthcartError):
    """A subcommand cannot answer; `code` is the exit code."""

    def __init__(self, code: ExitCode, detail: str) -> None:
        """Keep the exit code and what to tell the operator."""
        super().__init__(detail)
        self.code = code
