"""Checks which version of the configuration each VM has in force.

Each version has routes and keys. A route or a key is added by one version and
dropped by at most one later version, so an answer tells the versions that may
have been in force.
"""

import bisect
import collections
import dataclasses
import math
from collections.abc import Mapping, Sequence

from jacinthcart_lab._store_writers import (
    ReturnRecord,
    WriteRecord,
    compute_loss_at,
)
from jacinthcart_lab.soak._checks import Call
from jacinthcart_lab.soak._disturbances import Disturbances

_CONFIG_KEY = 'op/config'
#: The users' `config_apply_ms`, in seconds.
_BOUND_S = 3.0
#: The users' `downgrade_slack_ms`, in seconds.
_DOWNGRADE_SLACK_S = 0.25
#: Tolerance for the time between clock readings, in seconds.
_SLACK_S = 0.1
_OK = 200
_NOT_FOUND = 404
_DENIED_STATUSES = frozenset((401, 403))


@dataclasses.dataclass(frozen=True)
class _Version:
    """A version of the configuration that was written at least once."""

    number: int
    #: Time of the first acknowledgement.
    at: float
    routes: frozenset[str]
    keys: frozenset[str]

    def allows(self, call: Call, has_run: bool) -> bool:
        """Return whether the version allows what happened to a request."""
        if has_run or call.status == _OK:
            return call.kind in self.routes and call.key in self.keys
        if call.status == _NOT_FOUND:
            return call.kind not in self.routes
        if call.status in _DENIED_STATUSES:
            return call.key not in self.keys
        return True


@dataclasses.dataclass(frozen=True)
class _Span:
    """Time in which the store held a version."""

    number: int
    since: float
    until: float


class VersionChecker:
    """Compares the outcomes of requests with the versions written."""

    def __init__(
        self,
        writes: Sequence[WriteRecord],
        returns: Sequence[ReturnRecord],
        disturbances: Disturbances,
        started_at_by_vm: Mapping[int, Sequence[float]],
    ) -> None:
        """Index the records; `started_at_by_vm` has the times of starts."""
        self._disturbances = disturbances
        self._started_at_by_vm = started_at_by_vm
        version_by_number: dict[int, _Version] = {}
        self._spans: list[_Span] = []
        for write in writes:
            if write.key != _CONFIG_KEY or write.message is None:
                continue
            version = _create_version(write)
            version_by_number.setdefault(version.number, version)
            lost_at = compute_loss_at(write, returns)
            self._spans.append(_Span(version.number, write.at, lost_at))
        self._versions = sorted(
            version_by_number.values(), key=lambda one: one.number
        )

    def compute_revoked_at_by_key(self) -> dict[str, float]:
        """Return when the first version without each former key was acked."""
        revoked_at_by_key: dict[str, float] = {}
        former: frozenset[str] = frozenset()
        for version in sorted(self._versions, key=lambda one: one.at):
            for key in former - version.keys:
                revoked_at_by_key.setdefault(key, version.at)
            former |= version.keys
        return revoked_at_by_key

    def list_losses(self) -> list[str]:
        """Return a line for each acknowledged version that the store lost."""
        return [
            f'{span.until:.3f} store lost version {span.number}, acknowledged '
            f'at {span.since:.3f}'
            for span in self._spans
            if span.until < math.inf
        ]

    def check(self, calls: Sequence[Call], ran_ids: set[str]) -> list[str]:
        """Return a line for each kind of violation of each VM.

        `ran_ids` has the ids of the requests that a searcher ran.
        """
        calls_by_life = collections.defaultdict(list)
        for call in calls:
            has_run = call.request_id in ran_ids
            if call.status or has_run:
                calls_by_life[self._find_life(call)].append((call, has_run))
        return [
            line
            for (vm, _), life in sorted(calls_by_life.items())
            for line in (
                *self._check_bound(vm, life),
                *self._check_downgrades(vm, life),
            )
        ]

    def _find_life(self, call: Call) -> tuple[int, int]:
        started_at = self._started_at_by_vm.get(call.vm, ())
        return call.vm, bisect.bisect(started_at, call.sent_at)

    def _check_bound(
        self, vm: int, calls: Sequence[tuple[Call, bool]]
    ) -> list[str]:
        late = []
        for call, has_run in calls:
            required = self._compute_required(call)
            if not self._list_allowed(call, has_run, required):
                late.append((call, required))
        if not late:
            return []
        first, required = late[0]
        return [
            f'{len(late)} requests to vm-{vm} were handled as only a version '
            f'older than one in force allows; first {first.request_id}: '
            f'{first.kind} has status {first.status} despite version '
            f'{required}',
        ]

    def _check_downgrades(
        self, vm: int, calls: Sequence[tuple[Call, bool]]
    ) -> list[str]:
        effects_at: list[float] = []
        floors: list[int] = [0]
        regressions = []
        for call, has_run in sorted(calls, key=_get_effect_at):
            known_until = call.sent_at - _DOWNGRADE_SLACK_S
            floor = floors[bisect.bisect(effects_at, known_until)]
            allowed = self._list_allowed(call, has_run, floor)
            if not allowed:
                regressions.append((call, floor))
                continue
            effects_at.append(_get_effect_at((call, has_run)))
            floors.append(max(floors[-1], min(allowed)))
        if not regressions:
            return []
        first, floor = regressions[0]
        return [
            f'{len(regressions)} requests to vm-{vm} were handled as only a '
            f'version older than one that it had acted on allows; first '
            f'{first.request_id}: {first.kind} has status {first.status} '
            f'after version {floor}',
        ]

    def _compute_required(self, call: Call) -> int:
        """Return the newest version that must be in force, or 0."""
        if not self._disturbances.is_in_touch(call.vm, call.sent_at):
            return 0
        acked_until = call.sent_at - _BOUND_S - _SLACK_S
        return max(
            (
                span.number
                for span in self._spans
                if span.since < acked_until and span.until > call.sent_at
            ),
            default=0,
        )

    def _list_allowed(
        self, call: Call, has_run: bool, at_least: int
    ) -> list[int]:
        ended_at = call.ended_at if call.status else math.inf
        return [
            version.number
            for version in self._versions
            if version.number >= at_least
            and version.at <= ended_at
            and version.allows(call, has_run)
        ]


def _create_version(write: WriteRecord) -> _Version:
    config = write.message or {}
    return _Version(
        config['version'],
        write.at,
        frozenset(route['name'] for route in config['routes']),
        frozenset(
            key for tenant in config['tenants'] for key in tenant['api_keys']
        ),
    )


def _get_effect_at(outcome: tuple[Call, bool]) -> float:
    call, _ = outcome
    return call.ended_at if call.status else math.inf
