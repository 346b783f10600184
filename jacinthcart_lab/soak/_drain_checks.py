"""Checks that searchers which leave get no request after the bound."""

import dataclasses
import math
from collections.abc import Iterator, Sequence

from jacinthcart_emulator.platform_searcher import Arrival
from jacinthcart_lab._store_writers import (
    ReturnRecord,
    WriteRecord,
    compute_loss_at,
)
from jacinthcart_lab.soak._checks import Call
from jacinthcart_lab.soak._disturbances import Disturbances

#: The users' `drain_ms`, in seconds.
_BOUND_S = 3.0
#: Tolerance for the time between clock readings, in seconds.
_SLACK_S = 0.1
_SEARCHERS_PREFIX = 'servers/'
_READY = 'ready'


@dataclasses.dataclass(frozen=True)
class _Leave:
    """Time in which the store says that a searcher is leaving or gone."""

    #: Time of the acknowledgement.
    since: float
    #: Time at which the searcher is ready again or the store loses the write.
    until: float


class DrainChecker:
    """Compares the arrivals at searchers with their advertisements."""

    def __init__(
        self,
        writes: Sequence[WriteRecord],
        returns: Sequence[ReturnRecord],
        disturbances: Disturbances,
    ) -> None:
        """Index the advertisements; a lost one counts once written again."""
        self._disturbances = disturbances
        self._leaves_by_id: dict[str, list[_Leave]] = {}
        writes_by_id: dict[str, list[WriteRecord]] = {}
        for write in writes:
            if write.key.startswith(_SEARCHERS_PREFIX):
                searcher_id = write.key.removeprefix(_SEARCHERS_PREFIX)
                writes_by_id.setdefault(searcher_id, []).append(write)
        for searcher_id, written in writes_by_id.items():
            self._leaves_by_id[searcher_id] = list(
                _list_leaves(written, returns)
            )

    def check(
        self, calls: Sequence[Call], arrivals: Sequence[Arrival]
    ) -> list[str]:
        """Return a line for each VM and searcher with late requests."""
        vm_by_id = {call.request_id: call.vm for call in calls}
        late_by_pair: dict[tuple[int, str], list[Arrival]] = {}
        for arrival in arrivals:
            vm = vm_by_id.get(arrival.request_id)
            if vm is not None and self._is_late(vm, arrival):
                pair = (vm, arrival.searcher_id)
                late_by_pair.setdefault(pair, []).append(arrival)
        return [
            f'{len(late)} requests from vm-{vm} reached {searcher_id} after '
            'the bound, although the store had acknowledged that it leaves; '
            f'first {late[0].request_id}'
            for (vm, searcher_id), late in late_by_pair.items()
        ]

    def _is_late(self, vm: int, arrival: Arrival) -> bool:
        if not self._disturbances.is_in_touch(vm, arrival.at):
            return False
        return any(
            self._compute_bound(leave) < arrival.at < leave.until
            for leave in self._leaves_by_id.get(arrival.searcher_id, ())
        )

    def _compute_bound(self, leave: _Leave) -> float:
        # The acknowledgement counts once the store is stable.
        acked_at = self._disturbances.compute_stable_at(leave.since)
        return acked_at + _BOUND_S + _SLACK_S


def _list_leaves(
    written: Sequence[WriteRecord], returns: Sequence[ReturnRecord]
) -> Iterator[_Leave]:
    for index, write in enumerate(written):
        if _is_ready(write):
            continue
        ready_at = next(
            (later.at for later in written[index:] if _is_ready(later)),
            math.inf,
        )
        yield _Leave(write.at, min(ready_at, compute_loss_at(write, returns)))


def _is_ready(write: WriteRecord) -> bool:
    return write.message is not None and write.message['state'] == _READY
