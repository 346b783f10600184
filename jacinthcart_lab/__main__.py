"""Demo, bench and fleet: `python -m jacinthcart_lab --help`."""

import dataclasses
import pathlib
import sys
from typing import Annotated

import cappa
import orjson

from jacinthcart_lab._bench import NAMES, run_bench
from jacinthcart_lab._changes import post_to_service
from jacinthcart_lab._demo import run_demo
from jacinthcart_lab._stay import run_fleet
from jacinthcart_lab.soak import SoakParameters, run_soak

ServiceOption = Annotated[
    str,
    cappa.Arg(
        long='--config',
        value_name='ADDRESS:PORT',
        default=cappa.Env('JACINTHCART_CONFIG', default='127.0.3.1:21000'),
        help='emulated configuration service',
    ),
]


@dataclasses.dataclass
class Demo:
    """Run a small fleet and one request of every kind."""

    def __call__(self) -> None:
        """Exit with 0 when everything worked."""
        sys.exit(run_demo())


@cappa.command(name='fleet', help='Run the demo fleet until Ctrl-C.')
@dataclasses.dataclass
class StayingFleet:
    """Run the demo fleet until SIGTERM or Ctrl-C."""

    folder: Annotated[
        pathlib.Path,
        cappa.Arg(long=True, help='files, logs and keys'),
    ] = pathlib.Path('run/fleet')
    first_port: Annotated[int, cappa.Arg(long='--first-port')] = 21000

    def __call__(self) -> None:
        """Exit with 0 after a signal."""
        sys.exit(run_fleet(self.folder, self.first_port))


@cappa.command(help='Publish one settings value, as an operator does.')
@dataclasses.dataclass
class Put:
    """Publish one settings value."""

    path: Annotated[str, cappa.Arg(value_name='PATH')]
    json_text: Annotated[
        str,
        cappa.Arg(value_name='JSON', help='the value; null deletes the path'),
    ]
    config: ServiceOption

    def __call__(self) -> None:
        """Exit with 0 when the service took the change."""
        change = {self.path: orjson.loads(self.json_text)}
        sys.exit(post_to_service(self.config, 'put', {'values': change}))


@cappa.command(help='Switch a fault of the emulated configuration service.')
@dataclasses.dataclass
class Fault:
    """Switch a fault of the emulated configuration service."""

    json_text: Annotated[
        str,
        cappa.Arg(value_name='JSON', help='for example \'{"down": true}\''),
    ]
    config: ServiceOption

    def __call__(self) -> None:
        """Exit with 0 when the fault is switched."""
        fault = orjson.loads(self.json_text)
        sys.exit(post_to_service(self.config, 'fault', fault))


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


@cappa.command(help='Soak a fleet in faults and check the promises.')
@dataclasses.dataclass
class Soak:
    """Soak a fleet in faults and check the promises."""

    #: First seed.
    seed: Annotated[int, cappa.Arg(long=True, help='first seed')] = 1
    #: Number of seeds, one after the other.
    count: Annotated[int, cappa.Arg(long=True, help='seeds to run')] = 1
    #: Seconds of faults for each seed.
    seconds: Annotated[float, cappa.Arg(long=True)] = 15.0
    #: VMs of the fleet.
    vms: Annotated[int, cappa.Arg(long=True)] = 4
    #: Where the logs of failed seeds are kept.
    keep: Annotated[pathlib.Path, cappa.Arg(long=True)] = pathlib.Path(
        'run/soak',
    )

    def __call__(self) -> None:
        """Exit with 1 when a promise broke."""
        has_failed = False
        for seed in range(self.seed, self.seed + self.count):
            params = SoakParameters(seed, self.seconds, self.vms)
            report = run_soak(params, self.keep)
            print(
                f'seed {seed}: {report.calls} requests, {report.answered} '
                f'answered, {len(report.faults)} faults, recovered '
                f'{report.recovered_share:.2f}, broken {len(report.broken)}',
                flush=True,
            )
            for line in report.broken:
                print(f'  {line}', flush=True)
            has_failed = has_failed or bool(report.broken)
        sys.exit(int(has_failed))


@dataclasses.dataclass
class Lab:
    """Demo and bench of the query tier."""

    command: cappa.Subcommands[Demo | Bench | StayingFleet | Put | Fault | Soak]


if __name__ == '__main__':
    cappa.invoke(Lab)
