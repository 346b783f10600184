"""Demo and bench: `python -m jacinthcart_lab demo|bench`."""

import dataclasses
import sys
from typing import Annotated

import cappa

from jacinthcart_lab._bench import NAMES, run_bench
from jacinthcart_lab._demo import run_demo


@dataclasses.dataclass
class Demo:
    """Run a small fleet and one request of every kind."""

    def __call__(self) -> None:
        """Exit with 0 when everything worked."""
        sys.exit(run_demo())


@dataclasses.dataclass
class Bench:
    """Run the experiments of docs/MEASUREMENTS.md."""

    #: One experiment to run instead of all.
    only: Annotated[
        str | None,
        cappa.Arg(long=True, choices=list(NAMES), help='one experiment'),
    ] = None
    #: Whether to run short phases on one deployment.
    short: Annotated[bool, cappa.Arg(long=True, help='short phases')] = False
    #: Seed of the arrivals.
    seed: Annotated[int, cappa.Arg(long=True, help='seed of arrivals')] = 1

    def __call__(self) -> None:
        """Print the tables and write them to a folder under run/."""
        run_bench(self.seed, self.only, is_short=self.short)


@dataclasses.dataclass
class Lab:
    """Demo and bench of the query tier."""

    command: cappa.Subcommands[Demo | Bench]


if __name__ == '__main__':
    cappa.invoke(Lab)
