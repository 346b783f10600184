"""Cold searchers, changed data and corrupt answers under traffic."""

import copy

from tests.system._case import SystemTestCase
from tests.system._system import (
    SEARCH,
    wait_for,
)
from tests.system._traffic import Traffic

#: Number of owners of a part, by section 3 of the design: all 4 VMs, as
#: floor(25 connections * 0.5 / 2) = 6 owners are allowed.
_OWNERS = 4
_CONNECTIONS_PER_OWNER = 2
#: Slows a search from 4 ms to about 40 ms, so that searches overlap while a
#: searcher is cold but it still warms up within one ramp step.
_SEARCH_FACTOR = 10


class ColdStartTest(SystemTestCase):
    """Searchers turn cold without reporting it."""

    def test_silent_cold_start_of_a_part(self) -> None:
        """Guards against overloading searchers after evidence of a cold start.

        They report the state `warm`, so the first evidence is a refusal.
        Until then each connection of an owner may get one.
        """
        searchers = ('katalog-0-0', 'katalog-0-1', 'katalog-0-2')
        before = self._read_overruns(*searchers)
        self.set_slowdown(_SEARCH_FACTOR, *searchers)
        with Traffic(self.system, seed=6) as traffic:
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
            for searcher in searchers:
                self.fleet.emulators.set_searcher_fault(
                    searcher,
                    cold=True,
                    hide_state=True,
                )
            wait_for(
                lambda: not self._find_cold(*searchers),
                'every searcher is warm again',
            )
            self.system.wait_until_complete()
        self.check_records(traffic)
        self.fleet.emulators.set_searcher_fault('*', hide_state=False)
        after = self._read_overruns(*searchers)
        self.assertGreater(sum(after.values()), sum(before.values()))
        for searcher in searchers:
            overruns = after[searcher] - before[searcher]
            self.assertLessEqual(overruns, _OWNERS * _CONNECTIONS_PER_OWNER)

    def _read_overruns(self, *searchers: str) -> dict[str, int]:
        counts = self.fleet.emulators.read_searcher_counts()
        return {
            name: counts[name].get('cold_overruns', 0) for name in searchers
        }

    def _find_cold(self, *searchers: str) -> list[str]:
        counts = self.fleet.emulators.read_searcher_counts()
        return [name for name in searchers if counts[name]['is_cold']]


class ChangedDataTest(SystemTestCase):
    """Versions and partition maps change, and answers are corrupt."""

    def test_versions_and_partition_change_under_queries(self) -> None:
        """Guards against answers that mix two snapshots."""
        path = 'teams/voskovka/services/katalog'
        emulators = self.fleet.emulators
        searchers = [
            f'katalog-{part}-{replica}' for part in '01' for replica in '012'
        ]
        with Traffic(self.system, seed=10) as traffic:
            emulators.set_searcher_fault('katalog-0-0', versions=[1, 2])
            emulators.set_searcher_fault('katalog-1-0', versions=[1, 2])
            self._put_service(path, index_versions=[2, 1])
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
            for searcher in searchers:
                emulators.set_searcher_fault(searcher, versions=[2])
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
            self._put_service(path, index_versions=[2])
            self.system.wait_until_complete()
            # Exchange the shards of the two parts.
            for searcher in searchers:
                shard = 1 - int(searcher[len('katalog-')])
                emulators.set_searcher_fault(
                    searcher,
                    partition_map=2,
                    shards=[shard],
                )
            service = copy.deepcopy(self.fleet.values[path])
            parts = service['parts_by_name']
            parts['part-0']['shards'] = [1]
            parts['part-1']['shards'] = [0]
            self._put_service(path, parts_by_name=parts, partition_map=2)
            self.system.wait_until_complete()
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
        self.check_records(traffic)
        answers = [record.answer for record in traffic.records if record.answer]
        snapshots = {tuple(answer['snapshot'].values()) for answer in answers}
        self.assertLessEqual({(1, 1), (2, 1), (2, 2)}, snapshots)

    def test_corrupt_answers_of_searchers(self) -> None:
        """Guards against merging answers that do not match the request."""
        with Traffic(self.system, seed=11) as traffic:
            # A truncated answer is counted as a lost connection.
            self._corrupt_answers(traffic, 'truncate')
            for name in ('cross', 'wrong_version', 'missing_shard'):
                before = self.system.sum_counters('wrong_reply|')
                self._corrupt_answers(traffic, name)
                after = self.system.sum_counters('wrong_reply|')
                self.assertGreater(after, before, name)
            self.system.wait_until_complete()
        self.check_records(traffic)

    def _corrupt_answers(self, traffic: Traffic, name: str) -> None:
        emulators = self.fleet.emulators
        emulators.set_searcher_fault('*', **{f'{name}_fraction': 0.2})
        traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
        emulators.set_searcher_fault('*', **{f'{name}_fraction': 0})

    def _put_service(self, path: str, **fields: object) -> None:
        revision = self.system.put(path, self.fleet.values[path] | fields)
        self.system.wait_for_revision(revision)
