"""Command line of the load generator."""

import dataclasses
import os
import pathlib
import sys
from typing import Annotated

import anyio
import cappa
import pydantic

from jacinthcart.errors import SettingsError
from jacinthcart.load._checks import accept_every_answer, find_violations
from jacinthcart.load._models import Experiment, WorkspaceLoad
from jacinthcart.load._plots import draw_latency_over_time
from jacinthcart.load._report import build_report
from jacinthcart.load._results import RequestResult, write_results
from jacinthcart.load._run import LoadRun, create_callers
from jacinthcart.program import read_boot_clock

EXIT_VIOLATIONS = 1
EXIT_INVALID_SETTINGS = 2


@cappa.command(name='jacinthcart-load')
@dataclasses.dataclass
class LoadCommand:
    """Run the load of an experiment file against a running fleet."""

    #: Experiment file in JSON.
    experiment: Annotated[
        pathlib.Path,
        cappa.Arg(long=True, help='experiment file in JSON'),
    ]
    #: Folder for results, report and plot.
    output: Annotated[
        pathlib.Path,
        cappa.Arg(long=True, help='folder for results, report and plot'),
    ]
    #: Whether to draw a plot.
    plot: Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> None:
        """Exit with 1 for violated rules, 2 for an invalid experiment."""
        try:
            experiment = load_experiment(self.experiment)
            keys = read_keys(experiment)
        except SettingsError as error:
            sys.stderr.write(f'{error}\n')
            sys.exit(EXIT_INVALID_SETTINGS)
        results = anyio.run(run_experiment, experiment, keys)
        violations = find_violations(results, accept_every_answer)
        report = build_report(experiment, results, violations)
        self.output.mkdir(parents=True, exist_ok=True)
        write_results(self.output / 'results.jsonl', results)
        (self.output / 'report.md').write_text(report)
        if self.plot:
            draw_latency_over_time(self.output / 'latency.svg', results)
        sys.stdout.write(report)
        sys.exit(EXIT_VIOLATIONS if violations else 0)


def load_experiment(path: pathlib.Path) -> Experiment:
    """Read and validate an experiment file; raise SettingsError."""
    try:
        return Experiment.model_validate_json(path.read_bytes())
    except OSError as error:
        raise SettingsError(path.name, str(error.strerror)) from error
    except pydantic.ValidationError as error:
        raise SettingsError(path.name, str(error)) from error


def read_keys(experiment: Experiment) -> dict[str, str]:
    """Read the keys by workspace; raise SettingsError."""
    keys = {load.workspace: _read_key(load) for load in experiment.workspaces}
    return {workspace: key for workspace, key in keys.items() if key}


async def run_experiment(
    experiment: Experiment,
    key_by_workspace: dict[str, str],
) -> list[RequestResult]:
    """Run the experiment and close all callers."""
    callers = create_callers(experiment, key_by_workspace, read_boot_clock)
    try:
        return await LoadRun(experiment, callers, read_boot_clock).run()
    finally:
        for caller in callers.values():
            await caller.close()


def _read_key(load: WorkspaceLoad) -> str:
    if load.key_environment:
        try:
            return os.environ[load.key_environment]
        except KeyError as error:
            name = load.key_environment
            raise SettingsError(load.workspace, f'{name} is not set') from error
    if load.key_file is None:
        return ''
    try:
        return load.key_file.read_text().strip()
    except OSError as error:
        raise SettingsError(load.workspace, str(error.strerror)) from error


def main() -> None:
    """Parse the arguments and run the command."""
    cappa.invoke(LoadCommand)


if __name__ == '__main__':
    main()
