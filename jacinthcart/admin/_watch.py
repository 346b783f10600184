"""Waits for a change of settings, for `jacinthcart watch`."""

import dataclasses
from collections.abc import Callable
from typing import Any

import anyio

from jacinthcart.admin._errors import ExitCode
from jacinthcart.admin._fleet import FleetAnswers, FleetClient
from jacinthcart.admin._output import format_cell
from jacinthcart.settings import get_unit

_POLL_INTERVAL_S = 0.2

ReportLine = Callable[[str], None]


@dataclasses.dataclass(frozen=True)
class Progress:
    """Rollout state of one change."""

    #: Revision to wait for, None while no VM has a value for the path.
    target: int | None
    #: VMs on which the revision is in force.
    reached: tuple[str, ...]
    #: Reason why each other VM lags, by VM id.
    lagging_by_vm: dict[str, str]
    #: Errors of VMs that have received the change and reject it.
    errors: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class PathRevisions:
    """Revisions of a path on one VM."""

    #: Revision of the newest change, None without a value.
    newest: int | None
    #: Revision of the value in force, None without one.
    in_force: int | None


class ChangeWatcher:
    """Polls the VMs until a revision of a path is in force on all."""

    def __init__(
        self,
        client: FleetClient,
        path: str,
        target: int | None,
        report: ReportLine,
        *,
        require_ready: bool = False,
    ) -> None:
        """Wait for `target`, or for the newest revision on any VM.

        With `require_ready`, also wait until every VM is ready for callers.
        """
        self._client = client
        self._require_ready = require_ready
        self._path = path
        self._target = target
        self._report = report

    async def run(self, timeout_s: float) -> ExitCode:
        """Report each change of the progress; return the exit code."""
        progress = Progress(self._target, (), {}, ())
        with anyio.move_on_after(timeout_s):
            while True:
                latest = await self._read_progress()
                if latest != progress:
                    self._report(describe_progress(self._path, latest))
                progress = latest
                if progress.errors:
                    self._report_each(progress.errors)
                    return ExitCode.INVALID
                if not progress.lagging_by_vm:
                    return ExitCode.SUCCESS
                await anyio.sleep(_POLL_INTERVAL_S)
        self._report_each(
            f'{vm_id}: {reason}'
            for vm_id, reason in progress.lagging_by_vm.items()
        )
        return ExitCode.TIMED_OUT

    async def _read_progress(self) -> Progress:
        answers = await self._client.query_vms('status', path=self._path)
        progress = compute_progress(self._path, self._target, answers)
        if not self._require_ready:
            return progress
        unready = {
            vm_id: 'not ready'
            for vm_id in progress.reached
            if not answers.answers_by_vm[vm_id]['ready']
        }
        return dataclasses.replace(
            progress,
            reached=tuple(
                vm_id for vm_id in progress.reached if vm_id not in unready
            ),
            lagging_by_vm={**progress.lagging_by_vm, **unready},
        )

    def _report_each(self, lines: Any) -> None:
        for line in lines:
            self._report(line)


def compute_progress(
    path: str,
    target: int | None,
    answers: FleetAnswers,
) -> Progress:
    """Compare the revisions of a path on all VMs with the target."""
    revisions_by_vm = {
        vm_id: PathRevisions(**answer['path'])
        for vm_id, answer in sorted(answers.answers_by_vm.items())
    }
    if target is None:
        target = max(
            (revisions.newest or 0 for revisions in revisions_by_vm.values()),
            default=0,
        )
    lagging = {
        vm_id: f'revision in force is {format_cell(revisions.in_force)}'
        for vm_id, revisions in revisions_by_vm.items()
        if not revisions.in_force or revisions.in_force < target
    }
    rejecting = {
        vm_id
        for vm_id in lagging
        if target and (revisions_by_vm[vm_id].newest or 0) >= target
    }
    errors = {
        line
        for vm_id in rejecting
        for line in _list_errors(path, answers.answers_by_vm[vm_id])
    }
    return Progress(
        target or None,
        tuple(vm_id for vm_id in revisions_by_vm if vm_id not in lagging),
        {**lagging, **answers.failures_by_vm},
        tuple(sorted(errors)),
    )


def describe_progress(path: str, progress: Progress) -> str:
    """Return a line that describes the progress."""
    total = len(progress.reached) + len(progress.lagging_by_vm)
    lagging = ', '.join(sorted(progress.lagging_by_vm)) or 'none'
    return (
        f'{path} revision {format_cell(progress.target)}: in force on '
        f'{len(progress.reached)} of {total} VMs; waiting for: {lagging}'
    )


def _list_errors(path: str, answer: dict[str, Any]) -> list[str]:
    return [
        f'invalid: {error["path"]}: {error["rule"]}'
        for error in answer['errors']
        if error['path'].startswith(get_unit(path))
    ] or [f'invalid: {path} is not in force']
