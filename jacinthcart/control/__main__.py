"""Command line interface of the control program."""

import dataclasses
import pathlib
from typing import Annotated

import cappa

from jacinthcart.control._program import run_control
from jacinthcart.launch import run_program


@cappa.command(name='jacinthcart-control')
@dataclasses.dataclass
class ControlCommand:
    """Run the control process of one VM."""

    #: Path of the VM's settings file.
    settings: Annotated[pathlib.Path, cappa.Arg(long=True)]

    def __call__(self) -> None:
        """Run until the program is stopped by a signal."""
        run_program(self.settings, run_control)


def main() -> None:
    """Parse the arguments and run the command."""
    cappa.invoke(ControlCommand)


if __name__ == '__main__':
    main()
