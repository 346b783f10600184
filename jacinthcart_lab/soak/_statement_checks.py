"""Checks that VMs respect what searchers say about accepting requests."""

import collections
from collections.abc import Mapping, Sequence

from jacinthcart_emulator.platform_searcher import Arrival
from jacinthcart_lab.soak._checks import Call

_OK = 200
#: Tolerance for the transit time of a request and the time between clock
#: readings, in seconds.
_SLACK_S = 0.1
#: Seconds after a searcher named a delay in which requests may still arrive,
#: and the number that may arrive later (platform contract).
_ARRIVAL_SLACK_S = 0.5
_MAX_ARRIVALS = 2


class StatementChecker:
    """Compares the arrivals at searchers with the searchers' statements.

    A VM that has restarted in between knows no statements, so it is excused.
    """

    def __init__(
        self,
        calls: Sequence[Call],
        arrivals: Sequence[Arrival],
        started_at_by_vm: Mapping[int, Sequence[float]],
    ) -> None:
        """Index the records; `started_at_by_vm` has the times of starts."""
        self._call_by_id = {call.request_id: call for call in calls}
        self._started_at_by_vm = started_at_by_vm
        self._arrivals_by_pair: dict[tuple[int, str], list[Arrival]] = (
            collections.defaultdict(list)
        )
        self._counts = collections.Counter(
            (one.request_id, one.service) for one in arrivals
        )
        for arrival in arrivals:
            call = self._call_by_id.get(arrival.request_id)
            if call is not None:
                pair = (call.vm, arrival.searcher_id)
                self._arrivals_by_pair[pair].append(arrival)

    def check(self) -> list[str]:
        """Return a line for each violation."""
        return [
            line
            for (vm, _), arrivals in self._arrivals_by_pair.items()
            for line in (
                *self._check_leaving(vm, arrivals),
                *self._check_delays(vm, arrivals),
            )
        ]

    def _check_leaving(self, vm: int, arrivals: list[Arrival]) -> list[str]:
        passed_on_at = [
            self._call_by_id[one.request_id].ended_at
            for one in arrivals
            if one.is_leaving and self._is_passed_on(one)
        ]
        if not passed_on_at:
            return []
        known_at = min(passed_on_at)
        return [
            f'{one.request_id} reached {one.searcher_id} from vm-{vm}, which '
            'had passed on a response that said it leaves'
            for one in arrivals
            if self._call_by_id[one.request_id].sent_at > known_at + _SLACK_S
            and not self._has_started(vm, known_at, one.at)
        ]

    def _check_delays(self, vm: int, arrivals: list[Arrival]) -> list[str]:
        violations = []
        for rejection in arrivals:
            if rejection.retry_after_s is None:
                continue
            until = rejection.at + rejection.retry_after_s
            since = rejection.at + _ARRIVAL_SLACK_S
            count = sum(since <= one.at < until for one in arrivals)
            is_excused = self._has_started(vm, rejection.at, until)
            if count > _MAX_ARRIVALS and not is_excused:
                violations.append(
                    f'{count} requests reached {rejection.searcher_id} from '
                    f'vm-{vm} within the delay that it named in response to '
                    f'{rejection.request_id}',
                )
        return violations

    def _is_passed_on(self, arrival: Arrival) -> bool:
        # With more than one arrival of a request at a service, the response
        # of another searcher may have been passed on.
        call = self._call_by_id[arrival.request_id]
        is_only = self._counts[arrival.request_id, arrival.service] == 1
        has_part = f'{arrival.service}.{arrival.request_id}' in call.stamps
        return call.status == _OK and is_only and has_part

    def _has_started(self, vm: int, since: float, until: float) -> bool:
        started_at = self._started_at_by_vm.get(vm, ())
        return any(since <= one <= until for one in started_at)
