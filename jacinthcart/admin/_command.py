"""The command line: subcommands and exit codes."""

import dataclasses

import cappa

from jacinthcart.admin._change_commands import (
    Check,
    Key,
    SettingsPage,
    Watch,
)
from jacinthcart.admin._fleet_commands import (
    Decisions,
    Explain,
    Histograms,
    Status,
)
from jacinthcart.admin._request_commands import Addresses, Query
from jacinthcart.admin._trace_commands import Trace, Vms

_DESCRIPTION = """\
Shows and checks a jacinthcart fleet. It changes nothing: operators change
settings in the platform's configuration service.

Exit codes: 0 success, 1 failure, 2 invalid settings or usage, 3 not
reachable, 4 timeout. Errors are printed on standard error."""


@cappa.command(
    name='jacinthcart',
    help="The operators' command of jacinthcart.",
    description=_DESCRIPTION,
)
@dataclasses.dataclass
class OperatorCommand:
    """The operators' command of jacinthcart."""

    command: cappa.Subcommands[
        Check
        | Status
        | Watch
        | Explain
        | Decisions
        | Histograms
        | Key
        | Addresses
        | Query
        | SettingsPage
        | Trace
        | Vms
    ]


def main() -> None:
    """Read the arguments and run the subcommand."""
    cappa.invoke(OperatorCommand, completion=False)
