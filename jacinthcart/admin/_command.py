"""The top-level command with its subcommands."""

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
from jacinthcart.admin._vm_explain_command import VmExplain

_DESCRIPTION = """\
Inspects and checks a jacinthcart fleet. All subcommands are read-only:
operators change settings in the platform's configuration service.

Exit codes: 0 success, 1 failure, 2 invalid settings or usage, 3
unreachable, 4 timeout. Errors are printed to standard error."""


@cappa.command(
    name='jacinthcart',
    help='Command-line tool for operators of jacinthcart.',
    description=_DESCRIPTION,
)
@dataclasses.dataclass
class OperatorCommand:
    """Command-line tool for operators of jacinthcart."""

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
        | VmExplain
    ]


def main() -> None:
    """Parse the arguments and run the subcommand."""
    cappa.invoke(OperatorCommand, completion=False)
