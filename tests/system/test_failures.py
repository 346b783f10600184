"""Failures of processes, settings, searchers and data under traffic."""

import contextlib
import copy
import itertools
import signal
import time
from collections.abc import Sequence
from typing import Any

import httpx

from jacinthcart.errors import Ran
from jacinthcart_lab import make_key
from tests.system._caller_traffic import CallerTraffic
from tests.system._system import (
    IN_FORCE_S,
    ISOLATION_MS,
    LEASE_MS,
    PATIENCE_S,
    SEARCH,
    SUBMIT,
    System,
    wait_for,
)
from tests.system._traffic import Traffic, TrafficTestCase

_ALL_PROGRAMS = ('entry', 'gather', 'control')
_OK = 200
_UNAUTHORIZED = 401
#: Owners of a part by section 3 of the design: of 4 VMs each, as
#: floor(25 connections * 0.5 / 2) = 6 allows.
_OWNERS = 4
_CONNECTIONS_PER_OWNER = 2
#: Time after which no work may reach what was taken out.
_SETTLE_S = 1
#: Time in which a VM that lost contact stops serving.
_STOP_S = (LEASE_MS + ISOLATION_MS) / 1000
#: Requests sent after the first refusal of a withdrawn key.
_LATE_REQUESTS = 50
#: Makes a submit of 3 ms take about 200 ms.
_SUBMIT_FACTOR = 60
#: Makes a search of 4 ms take about 40 ms, so that searches overlap while a
#: searcher is cold, and it is still warm within one step of the ramp.
_SEARCH_FACTOR = 10
_SYSTEMS: list[System] = []


def setUpModule() -> None:
    """Start the fleet that every test uses."""
    system = System()
    _SYSTEMS.append(system)
    system.start()


def tearDownModule() -> None:
    """Stop the fleet."""
    _SYSTEMS.pop().close()


class _SystemTestCase(TrafficTestCase):
    def setUp(self) -> None:
        self.system = _SYSTEMS[0]
        self.fleet = self.system.fleet

    def slow_down(self, factor: float, *searchers: str) -> None:
        """Make every request of searchers take `factor` times as long."""
        for searcher in searchers:
            self.addCleanup(
                self.fleet.emulators.set_searcher_fault,
                searcher,
                straggle_fraction=0,
            )
            self.fleet.emulators.set_searcher_fault(
                searcher,
                straggle_fraction=1,
                straggle_factor=factor,
            )

    def check_records(self, traffic: Traffic) -> None:
        """Check what holds under every failure."""
        self.check_answers(traffic.records)
        self.check_submits(self.system, traffic.records)
        self.assertEqual(self.system.find_violations(), {})


class KilledProgramTest(_SystemTestCase):
    """A program dies without notice."""

    def test_killed_program_of_one_vm(self) -> None:
        """Guards against a second run, a false refusal, a lost fleet.

        Submits are slow, so that one is running when its program dies.
        """
        others = self.system.vm_ids[1:]
        self.slow_down(_SUBMIT_FACTOR, 'objednavky-0-0', 'objednavky-0-1')
        with Traffic(self.system, seed=1) as traffic:
            traffic.wait_for_answers(SUBMIT, *self.system.vm_ids)
            for program in _ALL_PROGRAMS:
                traffic.wait_until_submit_runs('vm-1')
                self.system.send_signal('vm-1', program, signal.SIGKILL)
                traffic.wait_for_answers(SEARCH, *others)
                traffic.wait_for_answers(SUBMIT, *others)
                self.fleet.start_program('vm-1', program)
                traffic.wait_for_answers(SEARCH, 'vm-1')
                traffic.wait_for_answers(SUBMIT, 'vm-1')
        self.check_records(traffic)


class PausedProgramTest(_SystemTestCase):
    """A program stops for a while and goes on late."""

    def test_control_paused_longer_than_its_lease(self) -> None:
        """Guards against serving without a lease."""
        with Traffic(self.system, seed=2) as traffic:
            with self.system.paused('vm-2', 'control'):
                wait_for(
                    lambda: self._is_refused_by_entry('vm-2'),
                    'the entry of vm-2 refuses',
                )
                wait_for(
                    lambda: self._is_refused_by_gather('vm-2'),
                    'the gather of vm-2 refuses',
                )
                traffic.wait_for_answers(SEARCH, 'vm-1', 'vm-3', 'vm-4')
                self.assertTrue(self._is_refused_by_entry('vm-2'))
                self.assertTrue(self._is_refused_by_gather('vm-2'))
            traffic.wait_for_answers(SEARCH, 'vm-2')
            traffic.wait_for_answers(SUBMIT, 'vm-2')
        self.check_records(traffic)

    def test_gather_paused_past_the_deadline_of_a_submit(self) -> None:
        """Guards against running a submit that was given up."""
        request_id = f'{self.system.find_prefix("vm-3")}.paused'
        with Traffic(self.system, seed=3) as traffic:
            with self.system.paused('vm-3', 'gather'):
                reply = self.system.ask(
                    'vm-3',
                    SUBMIT,
                    request_id=request_id,
                    deadline_ms=300,
                )
                traffic.wait_for_answers(SEARCH, 'vm-1', 'vm-2', 'vm-4')
            traffic.wait_for_answers(SUBMIT, 'vm-3')
        self.check_records(traffic)
        assert reply is not None
        runs = self.fleet.emulators.count_submit_runs()[request_id]
        may_have_run = reply.json()['refusal']['ran'] == 'unknown'
        self.assertLessEqual(runs, int(may_have_run))

    def _is_refused_by_entry(self, vm_id: str) -> bool:
        reply = self.system.ask(vm_id)
        if reply is None:
            return False
        return _is_not_ready(reply.json())

    def _is_refused_by_gather(self, vm_id: str) -> bool:
        settings = self.fleet.vms_by_id[vm_id].settings
        reply = httpx.post(
            f'http://{settings["address"]}:{settings["gather_port"]}/v1/queries',
            json={
                'request_id': 'direct',
                'service_id': 'voskovka/katalog',
                'route_kind': 'search',
                'workspace_id': 'voskovka/kavarna-1',
                'request_class': 'priority',
                'deadline_ms': 500,
                'query': {'text': 'vosk'},
                'home_vm': None,
            },
        )
        return _is_not_ready(reply.json())


def _is_not_ready(message: dict[str, Any]) -> bool:
    refusal = message.get('refusal', {})
    found = (refusal.get('code'), refusal.get('ran'))
    return found == ('not_ready', 'not_run')


class WithdrawnKeyTest(_SystemTestCase):
    """A key is withdrawn while its caller stays connected."""

    def setUp(self) -> None:
        super().setUp()
        self._path = 'teams/voskovka/keys/kavarna-2'
        self._key = make_key('voskovka', 'kavarna-2')
        self._granted = self.fleet.values[self._path]
        self._client = httpx.Client()
        self.addCleanup(self._client.close)
        self._wait_for_status(_OK, self.system.vm_ids, PATIENCE_S)

    def tearDown(self) -> None:
        self.fleet.emulators.set_config_fault(down=False)
        revision = self.system.put(self._path, self._granted)
        self.system.wait_for_revision(revision)

    def test_refused_on_every_vm(self) -> None:
        """Guards against keys that live as long as their connection."""
        self.system.put(self._path, {'sha256_digests': []})
        self._wait_for_status(_UNAUTHORIZED, self.system.vm_ids, IN_FORCE_S)
        for vm_id in self.system.vm_ids * 3:
            self.assertEqual(self._status(vm_id), _UNAUTHORIZED)

    def test_refused_by_a_vm_paused_over_the_change(self) -> None:
        """Guards against serving with the settings of before a pause."""
        others = ('vm-1', 'vm-2', 'vm-3')
        with contextlib.ExitStack() as cut_off:
            with self.system.paused('vm-4', *_ALL_PROGRAMS):
                self.system.put(self._path, {'sha256_digests': []})
                self._wait_for_status(_UNAUTHORIZED, others, IN_FORCE_S)
                self.fleet.emulators.set_config_fault(down=True)
                time.sleep(_STOP_S)
                for vm_id in others:
                    paused = self.system.paused(vm_id, 'control')
                    cut_off.enter_context(paused)
            # The VM knows only what was in force before its pause.
            time.sleep(_SETTLE_S)
            statuses = [self._status('vm-4') for _ in range(_LATE_REQUESTS)]
        stop_at = time.monotonic() + PATIENCE_S
        while _UNAUTHORIZED not in statuses[:-_LATE_REQUESTS]:
            statuses.append(self._status('vm-4'))
            self.assertLess(time.monotonic(), stop_at, statuses)
        self.assertNotIn(_OK, statuses)

    def _wait_for_status(
        self,
        status: int,
        vm_ids: Sequence[str],
        patience_s: float,
    ) -> None:
        wait_for(
            lambda: {self._status(vm_id) for vm_id in vm_ids} == {status},
            f'{vm_ids} answer with status {status}',
            patience_s,
        )

    def _status(self, vm_id: str) -> int | None:
        reply = self.system.ask(vm_id, key=self._key, client=self._client)
        return None if reply is None else reply.status_code


class ServiceOutageTest(_SystemTestCase):
    """The configuration service is down, or forgets changes."""

    def tearDown(self) -> None:
        self.fleet.emulators.set_config_fault(down=False)
        self.system.wait_until_whole()

    def test_outage_and_restart_at_an_older_revision(self) -> None:
        """Guards against an outage that stops the fleet or reverts it."""
        path = 'teams/voskovka/keys/kavarna-3'
        old_key = make_key('voskovka', 'kavarna-3')
        before = self.system.put(path, self.fleet.values[path])
        revision = self.system.put(path, {'sha256_digests': []})
        self.system.wait_for_revision(revision)
        emulators = self.fleet.emulators
        with Traffic(self.system, seed=4) as traffic:
            emulators.set_config_fault(down=True)
            time.sleep(1.5 * ISOLATION_MS / 1000)
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
            traffic.wait_for_answers(SUBMIT, *self.system.vm_ids)
            self.system.restart_killed('vm-4')
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
            emulators.set_config_fault(restart_at=before, down=False)
            self.system.restart_killed('vm-3')
            statuses = self._ask_until_refused('vm-3', old_key)
            self.assertNotIn(_OK, statuses)
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
        self.check_records(traffic)
        for vm_id in self.system.vm_ids:
            status = self.system.read_admin(vm_id, f'status?path={path}')
            self.assertEqual(status['path']['in_force'], revision)
            self._ask_until_refused(vm_id, old_key)
        # The revisions that the service forgot are not used again.
        for _ in range(3):
            revision = emulators.put(self.fleet.values)
        self.system.wait_for_revision(revision)

    def _ask_until_refused(self, vm_id: str, key: str) -> set[int]:
        statuses: set[int] = set()

        def is_refused() -> bool:
            reply = self.system.ask(vm_id, key=key)
            statuses.add(0 if reply is None else reply.status_code)
            return _UNAUTHORIZED in statuses

        wait_for(is_refused, f'{vm_id} refuses the withdrawn key')
        return statuses

    def test_invalid_subtree_beside_a_valid_change(self) -> None:
        """Guards against one team's error holding back the other team."""
        bad = 'teams/voskovka/services/katalog'
        good = 'teams/fjordsom/routes/patterns'
        valid = self.fleet.values[bad]
        changed = self.fleet.values[good] | {'deadline_ms': 1500}
        with Traffic(self.system, seed=5) as traffic:
            revision = self.fleet.emulators.put(
                {bad: {'parts_by_name': {}}, good: changed},
            )
            self.system.wait_for_revision(revision)
            for vm_id in self.system.vm_ids:
                status = self.system.read_admin(vm_id, f'status?path={good}')
                self.assertEqual(status['path']['in_force'], revision)
                errors = [error['path'] for error in status['errors']]
                self.assertTrue(errors)
                self.assertTrue(all(path.startswith(bad) for path in errors))
                status = self.system.read_admin(vm_id, f'status?path={bad}')
                self.assertLess(status['path']['in_force'], revision)
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
            revision = self.system.put(bad, valid)
            self.system.wait_for_revision(revision)
            for vm_id in self.system.vm_ids:
                status = self.system.read_admin(vm_id, f'status?path={bad}')
                self.assertEqual(status['path']['in_force'], revision)
        self.check_records(traffic)


class ColdStartTest(_SystemTestCase):
    """Searchers turn cold without saying so."""

    def test_silent_cold_start_of_a_part(self) -> None:
        """Guards against load on cold searchers after evidence of it."""
        searchers = ('katalog-0-0', 'katalog-0-1', 'katalog-0-2')
        before = self._read_overruns(*searchers)
        self.slow_down(_SEARCH_FACTOR, *searchers)
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
            self.system.wait_until_whole()
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


class PlannedChangeTest(_SystemTestCase):
    """Operators take out data centres, searchers and VMs."""

    def tearDown(self) -> None:
        revision = self.fleet.emulators.put(self.fleet.values)
        self.system.wait_for_revision(revision)

    def test_data_centre_out_and_back_twice(self) -> None:
        """Guards against work sent to a data centre that is out."""
        path = 'fleet/data_centres'
        states = self.fleet.values[path]['state_by_name']
        vm = self.fleet.vms_by_id['vm-1']
        centre = vm.settings['data_centre']
        inside = self._find_searchers(centre)
        others = self.system.vm_ids[1:]
        with Traffic(self.system, seed=7) as traffic:
            for _ in range(2):
                out = {'state_by_name': states | {centre: 'out'}}
                self._put({path: out})
                received = self.system.count_received(*inside)
                traffic.wait_for_answers(SEARCH, *others)
                traffic.wait_for_answers(SUBMIT, *others)
                self.assertEqual(
                    self.system.count_received(*inside),
                    received,
                )
                self._put({path: {'state_by_name': states}})
                traffic.wait_for_answers(SUBMIT, *self.system.vm_ids)
                self.system.wait_until_whole()
                self.assertNotEqual(
                    self.system.count_received(*inside),
                    received,
                )
        self.check_records(traffic)

    def test_leaving_searcher(self) -> None:
        """Guards against work sent to a searcher that leaves."""
        path = 'teams/voskovka/services/katalog'
        service = copy.deepcopy(self.fleet.values[path])
        part = service['parts_by_name']['part-0']
        part['searchers_by_id']['katalog-0-1']['state'] = 'leaving'
        with Traffic(self.system, seed=8) as traffic:
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
            self._put({path: service})
            received = self.system.count_received('katalog-0-1')
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
            self.assertEqual(
                self.system.count_received('katalog-0-1'),
                received,
            )
        self.check_records(traffic)

    def test_rolling_restart(self) -> None:
        """Guards against requests that a planned stop interrupts."""
        with CallerTraffic(self.system, seed=9) as traffic:
            for vm_id in self.system.vm_ids:
                traffic.wait_for_answers()
                self.assertEqual(self.fleet.stop_vm(vm_id), [0, 0, 0])
                traffic.wait_for_answers()
                self.fleet.start_vm(vm_id)
                self.fleet.wait_until_ready()
        self.assertEqual(
            [error for error in traffic.errors if error.ran is Ran.UNKNOWN],
            [],
        )
        self.check_caller_answers(traffic.answers)
        self.check_submits(self.system, [])
        self.system.wait_until_whole()

    def _find_searchers(self, centre: str) -> list[str]:
        parts = itertools.chain.from_iterable(
            service['parts_by_name'].values()
            for path, service in self.fleet.values.items()
            if path.startswith('teams/voskovka/services/')
        )
        return [
            searcher_id
            for part in parts
            for searcher_id, searcher in part['searchers_by_id'].items()
            if searcher['data_centre'] == centre
        ]

    def _put(self, values: dict[str, Any]) -> None:
        revision = self.fleet.emulators.put(values)
        self.system.wait_for_revision(revision)
        time.sleep(_SETTLE_S)


class ChangedDataTest(_SystemTestCase):
    """Versions and partition maps change, answers arrive damaged."""

    def test_versions_and_partition_change_under_queries(self) -> None:
        """Guards against answers of two snapshots."""
        path = 'teams/voskovka/services/katalog'
        emulators = self.fleet.emulators
        searchers = [f'katalog-{part}-{one}' for part in '01' for one in '012']
        with Traffic(self.system, seed=10) as traffic:
            emulators.set_searcher_fault('katalog-0-0', versions=[1, 2])
            emulators.set_searcher_fault('katalog-1-0', versions=[1, 2])
            self._put_service(path, index_versions=[2, 1])
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
            for searcher in searchers:
                emulators.set_searcher_fault(searcher, versions=[2])
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
            self._put_service(path, index_versions=[2])
            self.system.wait_until_whole()
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
            self.system.wait_until_whole()
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
        self.check_records(traffic)
        answers = [record.answer for record in traffic.records if record.answer]
        snapshots = {tuple(answer['snapshot'].values()) for answer in answers}
        self.assertLessEqual({(1, 1), (2, 1), (2, 2)}, snapshots)

    def test_damaged_answers_of_searchers(self) -> None:
        """Guards against merging answers that do not match the request."""
        with Traffic(self.system, seed=11) as traffic:
            # A truncated answer counts as a lost connection.
            self._damage_answers(traffic, 'truncate')
            for name in ('cross', 'wrong_version', 'missing_shard'):
                before = self.system.sum_counters('wrong_reply|')
                self._damage_answers(traffic, name)
                after = self.system.sum_counters('wrong_reply|')
                self.assertGreater(after, before, name)
            self.system.wait_until_whole()
        self.check_records(traffic)

    def _damage_answers(self, traffic: Traffic, name: str) -> None:
        emulators = self.fleet.emulators
        emulators.set_searcher_fault('*', **{f'{name}_fraction': 0.2})
        traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
        emulators.set_searcher_fault('*', **{f'{name}_fraction': 0})

    def _put_service(self, path: str, **fields: object) -> None:
        revision = self.system.put(path, self.fleet.values[path] | fields)
        self.system.wait_for_revision(revision)
