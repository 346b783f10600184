"""Command line of the lab: `python -m jacinthcart_lab --help`."""

import dataclasses
import pathlib
import sys
from typing import Annotated

import cappa
import orjson

from jacinthcart_lab._bench import NAMES, run_bench
from jacinthcart_lab._changes import post_to_service
from jacinthcart_lab._demo import run_demo
from jacinthcart_lab._demo_fleet import run_fleet
from jacinthcart_lab.endless import Endless
from jacinthcart_lab.soak import SoakParameters, run_soak

ConfigServiceOption = Annotated[
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
    """Start a small fleet and send requests of every kind."""

    def __call__(self) -> None:
        """Exit with 0 if every step succeeded."""
        sys.exit(run_demo())


@cappa.command(name='fleet', help='Run the demo fleet until Ctrl-C.')
@dataclasses.dataclass
class DemoFleet:
    """Run the demo fleet until SIGTERM or SIGINT."""

    folder: Annotated[
        pathlib.Path,
        cappa.Arg(long=True, help='folder for settings files, logs and keys'),
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
    config: ConfigServiceOption

    def __call__(self) -> None:
        """Exit with 0 if the service accepted the change."""
        change = {self.path: orjson.loads(self.json_text)}
        sys.exit(post_to_service(self.config, 'put', {'values': change}))


@cappa.command(help='Set a fault of the emulated configuration service.')
@dataclasses.dataclass
class Fault:
    """Set a fault of the emulated configuration service."""

    json_text: Annotated[
        str,
        cappa.Arg(value_name='JSON', help='for example \'{"down": true}\''),
    ]
    config: ConfigServiceOption

    def __call__(self) -> None:
        """Exit with 0 if the service accepted the fault."""
        fault = orjson.loads(self.json_text)
        sys.exit(post_to_service(self.config, 'fault', fault))


@dataclasses.dataclass
class Bench:
    """Run the experiments of docs/MEASUREMENTS.md."""

    #: Name of the only experiment to run; None runs all.
    only: Annotated[
        str | None,
        cappa.Arg(long=True, choices=list(NAMES), help='one experiment'),
    ] = None
    #: Whether to shorten the phases and use one deployment.
    short: Annotated[bool, cappa.Arg(long=True, help='short phases')] = False
    #: Seed of the arrival times.
    seed: Annotated[int, cappa.Arg(long=True, help='seed of arrivals')] = 1

    def __call__(self) -> None:
        """Print the tables and write them to a folder under run/bench."""
        run_bench(self.seed, self.only, is_short=self.short)


@cappa.command(help='Run a fleet under random faults and check its guarantees.')
@dataclasses.dataclass
class Soak:
    """Run a fleet under random faults and check its guarantees."""

    #: First seed.
    seed: Annotated[int, cappa.Arg(long=True, help='first seed')] = 1
    #: Number of consecutive seeds to run.
    count: Annotated[int, cappa.Arg(long=True, help='seeds to run')] = 1
    #: Duration of fault injection for each seed, in seconds.
    seconds: Annotated[float, cappa.Arg(long=True)] = 15.0
    #: Number of VMs.
    vms: Annotated[int, cappa.Arg(long=True)] = 4
    #: Folder for the logs of failed seeds.
    keep: Annotated[pathlib.Path, cappa.Arg(long=True)] = pathlib.Path(
        'run/soak',
    )

    def __call__(self) -> None:
        """Exit with 1 if a guarantee was violated."""
        has_failed = False
        for seed in range(self.seed, self.seed + self.count):
            params = SoakParameters(seed, self.seconds, self.vms)
            report = run_soak(params, self.keep)
            print(
                f'seed {seed}: {report.calls} requests, {report.answered} '
                f'answered, {len(report.faults)} faults, recovered '
                f'{report.recovered_fraction:.2f}, '
                f'{len(report.violations)} violations',
                flush=True,
            )
            for line in report.violations:
                print(f'  {line}', flush=True)
            has_failed = has_failed or bool(report.violations)
        sys.exit(int(has_failed))


@dataclasses.dataclass
class Lab:
    """Demo, benchmarks and soak test of the query tier."""

    command: cappa.Subcommands[
        Demo | Bench | DemoFleet | Put | Fault | Soak | Endless
    ]


if __name__ == '__main__':
    cappa.invoke(Lab)
