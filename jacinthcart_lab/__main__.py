"""Demo and bench: `python -m jacinthcart_lab demo|bench`."""

import dataclasses
import sys

import cappa

from jacinthcart_lab._demo import run_demo


@dataclasses.dataclass
class Demo:
    """Run a small fleet and one request of every kind."""

    def __call__(self) -> None:
        """Exit with 0 when everything worked."""
        sys.exit(run_demo())


@dataclasses.dataclass
class Lab:
    """Demo and bench of the query tier."""

    command: cappa.Subcommands[Demo]


if __name__ == '__main__':
    cappa.invoke(Lab)
