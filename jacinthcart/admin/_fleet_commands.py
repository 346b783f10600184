"""Subcommands that show the state reported by the VMs."""

import dataclasses
import datetime
from typing import Annotated, Any

import cappa

from jacinthcart.admin._errors import CommandError, ExitCode
from jacinthcart.admin._fleet import query_fleet
from jacinthcart.admin._histograms import (
    has_kind,
    merge_counters,
    merge_histograms,
    split_key,
)
from jacinthcart.admin._options import FleetOptions
from jacinthcart.admin._output import TableData, print_json, print_table
from jacinthcart.admin._run import run_command
from jacinthcart.admin._status import create_status_tables

_DEFAULT_KINDS = ('request', 'service')


@cappa.command(
    help='Show the settings, members, limits and searchers of every VM.',
    description='Example: jacinthcart status --config 127.0.3.1:21000',
)
@dataclasses.dataclass(kw_only=True)
class Status(FleetOptions):
    """Show the status of every VM."""

    vm: Annotated[
        str | None,
        cappa.Arg(long=True, value_name='VM', help='show only this VM'),
    ] = None

    def __call__(self) -> None:
        """Run and exit."""
        run_command(self.run)

    async def run(self) -> ExitCode:
        """Print the status of all VMs that answer."""
        answers = {
            vm_id: answer
            for vm_id, answer in (await query_fleet(self, 'status')).items()
            if self.vm in {None, vm_id}
        }
        if self.json:
            print_json(answers)
            return ExitCode.SUCCESS
        for table in create_status_tables(answers):
            print_table(table)
        return ExitCode.SUCCESS


@cappa.command(
    help='Explain how the settings in force apply to a route or workspace.',
    description='Example: jacinthcart explain --route '
    'voskovka/katalog-search --workspace voskovka/kavarna-1',
)
@dataclasses.dataclass(kw_only=True)
class Explain(FleetOptions):
    """Explain the settings of a route and a workspace."""

    route: Annotated[
        str,
        cappa.Arg(long=True, value_name='TEAM/NAME'),
    ] = ''
    workspace: Annotated[
        str,
        cappa.Arg(long=True, value_name='TEAM/NAME'),
    ] = ''

    def __call__(self) -> None:
        """Run and exit."""
        run_command(self.run)

    async def run(self) -> ExitCode:
        """Print the explanations of all VMs, identical ones once."""
        if not self.route and not self.workspace:
            raise CommandError(
                ExitCode.INVALID,
                '--route or --workspace is required',
            )
        answers = await query_fleet(
            self,
            'explain',
            route=self.route,
            workspace=self.workspace,
        )
        if self.json:
            print_json(answers)
        else:
            _print_explanations(answers)
        return (
            ExitCode.SUCCESS
            if self._is_defined_on_all_vms(answers)
            else ExitCode.FAILURE
        )

    def _is_defined_on_all_vms(self, answers: dict[str, Any]) -> bool:
        requested = {'route': self.route, 'workspace': self.workspace}
        return all(
            answer[name] is not None
            for answer in answers.values()
            for name, identity in requested.items()
            if identity
        )


@cappa.command(
    help='List the automatic changes of all VMs, oldest first.',
    description='Example: jacinthcart decisions --last 20 --action hedge',
)
@dataclasses.dataclass(kw_only=True)
class Decisions(FleetOptions):
    """List automatic changes."""

    last: Annotated[
        int, cappa.Arg(long=True, help='number of newest changes to show')
    ] = 50
    action: Annotated[
        str | None,
        cappa.Arg(long=True, help='show only this action'),
    ] = None

    def __call__(self) -> None:
        """Run and exit."""
        run_command(self.run)

    async def run(self) -> ExitCode:
        """Print the newest automatic changes."""
        answers = await query_fleet(self, 'decisions')
        decisions = [
            {'vm': vm_id, **decision}
            for vm_id, answer in answers.items()
            for decision in answer['decisions']
            if self.action in {None, decision['action']}
        ]
        decisions.sort(key=lambda decision: float(decision['at']))
        shown = decisions[-self.last :]
        if self.json:
            print_json({'decisions': shown})
            return ExitCode.SUCCESS
        print_table(_create_decision_table(shown))
        return ExitCode.SUCCESS


@cappa.command(
    help='Show fleet-wide latency histograms in milliseconds.',
    description='`request` is measured by the entry for each workspace and '
    'class, `service` by the gather for each service. '
    'Example: jacinthcart histograms --all',
)
@dataclasses.dataclass(kw_only=True)
class Histograms(FleetOptions):
    """Show latency histograms."""

    every: Annotated[
        bool,
        cappa.Arg(long='--all', help='show all kinds of histograms'),
    ] = False

    def __call__(self) -> None:
        """Run and exit."""
        run_command(self.run)

    async def run(self) -> ExitCode:
        """Print the merged histograms and, with JSON output, the counters."""
        answers = await query_fleet(self, 'histograms')
        merged = {
            key: quantiles
            for key, quantiles in merge_histograms(answers).items()
            if self.every or has_kind(key, _DEFAULT_KINDS)
        }
        if self.json:
            print_json(
                {
                    'vms': list(answers),
                    'histograms': merged,
                    'counters': merge_counters(answers),
                },
            )
            return ExitCode.SUCCESS
        columns = (
            'metric',
            'labels',
            'count',
            'p50',
            'p90',
            'p99',
            'p99.9',
            'max',
        )
        rows = [
            (*split_key(key), *dataclasses.astuple(quantiles))
            for key, quantiles in merged.items()
        ]
        print_table(TableData('Latency in ms', columns, rows))
        return ExitCode.SUCCESS


def _create_decision_table(decisions: list[dict[str, Any]]) -> TableData:
    names = ('vm', 'program', 'action', 'target', 'reason', 'observation')
    return TableData(
        'Automatic changes',
        ('time', *names, 'setting'),
        [
            (
                _format_time(decision['at']),
                *(decision[name] for name in names),
                decision['setting'],
            )
            for decision in decisions
        ],
    )


def _format_time(seconds: float) -> str:
    time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time.isoformat(timespec='milliseconds')


def _print_explanations(answers: dict[str, Any]) -> None:
    """Print each distinct answer once with the VMs that gave it."""
    vms_by_text: dict[str, list[str]] = {}
    answer_by_text: dict[str, Any] = {}
    for vm_id, answer in answers.items():
        text = repr(answer)
        vms_by_text.setdefault(text, []).append(vm_id)
        answer_by_text[text] = answer
    for text, answer in answer_by_text.items():
        print_json({'vms': vms_by_text[text], **answer})
