"""Command line of the entry program."""

import dataclasses
import pathlib
from typing import Annotated

import cappa

from jacinthcart.entry._program import run_entry
from jacinthcart.launch import run_program


@cappa.command(name='jacinthcart-entry')
@dataclasses.dataclass(frozen=True)
class EntryCommand:
    """Serve callers on this VM."""

    #: The VM's process settings file.
    settings: Annotated[
        pathlib.Path,
        cappa.Arg(long=True, help='process settings file, JSON'),
    ]


def main() -> None:
    """Run the entry program."""
    command = cappa.parse(EntryCommand)
    run_program(command.settings, run_entry)


if __name__ == '__main__':
    main()
