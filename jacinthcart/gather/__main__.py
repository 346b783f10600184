"""The gather program: `python -m jacinthcart.gather --settings FILE`."""

import dataclasses
import functools
import pathlib
from typing import Annotated

import cappa

from jacinthcart.gather._connect import create_dispatcher
from jacinthcart.gather._program import run_gather
from jacinthcart.launch import run_program


@cappa.command(name='jacinthcart-gather')
@dataclasses.dataclass
class Arguments:
    """Run the gather process of one VM."""

    settings: Annotated[
        pathlib.Path,
        cappa.Arg(long=True, help='settings file of this VM'),
    ]


def main() -> None:
    """Run until a graceful shutdown."""
    arguments = cappa.parse(Arguments)
    run_program(
        arguments.settings,
        functools.partial(run_gather, create_dispatcher=create_dispatcher),
    )


if __name__ == '__main__':
    main()
