"""Tests of a fleet whose store comes back from older copies."""

import unittest

from tests.readings.returns._run import run_schedule
from tests.readings.returns._schedule import (
    ALL_KINDS,
    PLAIN_STORE,
    WRITES,
    StepKind,
    draw_schedule,
)
from tests.readings.returns._store import StoreParameters

_STEPS = 40
_MAX_LINES = 4
_OPERATOR_WRITES = frozenset((StepKind.CONFIG, StepKind.EVACUATION))
_WITHOUT_RETURNS = ALL_KINDS - {StepKind.RETURN}


class _ScheduleCase(unittest.TestCase):
    """Plays schedules and fails with the first violations of each seed."""

    def check(
        self,
        vms: int,
        seeds: tuple[int, ...],
        steps: int = _STEPS,
        kinds: frozenset[StepKind] = ALL_KINDS,
        store: StoreParameters = PLAIN_STORE,
    ) -> None:
        """Fail if a VM breaks a rule with one of the seeds."""
        lines = []
        for seed in seeds:
            schedule = draw_schedule(seed, vms, steps, kinds=kinds, store=store)
            violations = run_schedule(schedule).violations
            if violations:
                lines.append(f'seed {seed}: {len(violations)} violations')
                lines.extend(str(one) for one in violations[:_MAX_LINES])
        if lines:
            self.fail('\n'.join(['', *lines]))


class StoreReturnTests(_ScheduleCase):
    """Versions, keys, searchers and proofs hold over returns of the store."""

    def test_fleet_of_3(self) -> None:
        """Guards against changes after a return that are taken for old."""
        self.check(3, (1, 2, 3, 4, 5))

    def test_fleet_of_8(self) -> None:
        """Guards against peers that prove an old copy to each other."""
        self.check(8, (1, 2, 3, 4))

    def test_fleet_of_60(self) -> None:
        """Guards against VMs that are stuck behind relays."""
        self.check(60, (1,), steps=12)

    def test_fleet_of_195(self) -> None:
        """Guards against late VMs in the largest fleets."""
        self.check(195, (6,), steps=7)

    def test_returns_in_series(self) -> None:
        """Guards against copies of several returns that are mixed up."""
        kinds = frozenset((StepKind.CONFIG, StepKind.RETURN))
        self.check(8, (1, 3, 4), kinds=kinds)

    def test_returns_beside_restarts_and_pauses(self) -> None:
        """Guards against VMs that bring back what the others have given up."""
        kinds = frozenset(
            (
                StepKind.CONFIG,
                StepKind.RETURN,
                StepKind.PAUSE,
                StepKind.RESTART,
                StepKind.PEER_CUT,
            )
        )
        self.check(8, (1, 2, 3), kinds=kinds)


class OtherStoreFaultTests(_ScheduleCase):
    """The same rules hold over faults that lose nothing acknowledged."""

    def test_writes_alone(self) -> None:
        """Shows that a schedule without faults breaks no rule."""
        self.check(8, (1, 2, 3), kinds=WRITES)

    def test_cuts_pauses_and_outages(self) -> None:
        """Guards against rules that hold only over returns."""
        kinds = _WITHOUT_RETURNS - {StepKind.RESTART}
        self.check(8, (1, 2, 3), kinds=kinds)

    def test_removed_keys_reach_peers_of_a_restarted_vm(self) -> None:
        """Guards against evacuations that never end on some VMs.

        A VM that starts after a removal has no trace of the key, so peers
        that pull from it are never told.
        """
        self.check(3, (109, 146, 198), kinds=_WITHOUT_RETURNS)

    def test_evacuations_that_start_and_end_again(self) -> None:
        """Guards against a proof for a copy that only looks the same."""
        kinds = frozenset((StepKind.EVACUATION,))
        self.check(8, (2, 11), kinds=kinds)

    def test_watch_without_answer_in_an_outage(self) -> None:
        """Guards against searchers' changes that wait for its time-out."""
        kinds = frozenset(
            (
                StepKind.OUTAGE,
                StepKind.SEARCHER_DRAIN,
                StepKind.SEARCHER_RESTART,
            )
        )
        self.check(3, (21, 91, 95, 150), steps=12, kinds=kinds)

    def test_watch_at_beyond_its_events(self) -> None:
        """Guards against peers that are never sent a change."""
        store = StoreParameters(short_watch_fraction=0.3)
        self.check(8, (1, 2, 3), kinds=_OPERATOR_WRITES, store=store)

    def test_list_read_while_keys_change(self) -> None:
        """Guards against a read that counts as complete beyond its items."""
        store = StoreParameters(page_items=1, page_s=0.3)
        kinds = _OPERATOR_WRITES | {StepKind.HISTORY_LOSS}
        self.check(8, (1, 2, 3), kinds=kinds, store=store)

    def test_list_whose_at_is_later_than_its_items(self) -> None:
        """Guards against a change that a read hides for good."""
        store = StoreParameters(page_s=0.6, has_late_at=True)
        kinds = _OPERATOR_WRITES | {StepKind.HISTORY_LOSS}
        self.check(8, (1, 2, 3), kinds=kinds, store=store)


if __name__ == '__main__':
    unittest.main()
