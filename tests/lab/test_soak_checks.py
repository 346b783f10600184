"""Tests of the soak's checks of versions and of leaving searchers.

Each check detects its violation and excuses what the users' rules excuse.
"""

import math
from typing import Any
from unittest import TestCase

from jacinthcart_emulator.platform_searcher import Arrival
from jacinthcart_lab._store_writers import (
    ReturnRecord,
    WriteRecord,
    compute_loss_at,
)
from jacinthcart_lab.soak._checks import Call
from jacinthcart_lab.soak._disturbances import Disturbance, Disturbances
from jacinthcart_lab.soak._drain_checks import DrainChecker
from jacinthcart_lab.soak._version_checks import VersionChecker

_OK = 200
_NOT_FOUND = 404


def _write_config(
    version: int,
    at: float,
    routes: tuple[str, ...] = (),
    keys: tuple[str, ...] = ('key-1',),
) -> WriteRecord:
    names = ('search', *routes)
    message = {
        'version': version,
        'routes': [{'name': name} for name in names],
        'tenants': [{'name': 'mill', 'api_keys': list(keys)}],
    }
    return WriteRecord('op/config', message, version, at)


def _write_searcher(at: float, state: str | None, revision: int) -> WriteRecord:
    message = None if state is None else {'state': state}
    return WriteRecord('servers/s', message, revision, at)


def _call(
    at: float, status: int, kind: str = 'new', key: str = 'key-1', vm: int = 0
) -> Call:
    return Call(f'r{at}', kind, key, vm, at, at + 0.01, status)


def _disturb(*disturbances: Disturbance) -> Disturbances:
    recorded = Disturbances()
    for one in disturbances:
        recorded.add(one)
    return recorded


class LossTests(TestCase):
    """A return loses the writes that its copy lacks, and no others."""

    def test_write_after_the_copy_is_lost(self) -> None:
        """A write counts until the store goes away."""
        returns = [ReturnRecord(5, 100.0, 101.0)]
        lost = WriteRecord('k', {}, 6, 99.0)
        self.assertEqual(compute_loss_at(lost, returns), 100.0)
        for kept in (
            WriteRecord('k', {}, 5, 99.0),
            WriteRecord('k', {}, 6, 102.0),
        ):
            self.assertEqual(compute_loss_at(kept, returns), math.inf)


class VersionCheckerTests(TestCase):
    """Answers tell which versions may have been in force."""

    def setUp(self) -> None:
        """Write a version with a route at 100 and drop the route at 120."""
        self.writes = [
            _write_config(1, 50.0),
            _write_config(4, 100.0, ('new',)),
            _write_config(9, 120.0),
        ]

    def check(
        self,
        *calls: Call,
        returns: tuple[ReturnRecord, ...] = (),
        disturbances: tuple[Disturbance, ...] = (),
        ran_ids: tuple[str, ...] = (),
        **changes: Any,
    ) -> list[str]:
        """Return the violations of some requests."""
        started_at_by_vm = changes.get('started_at_by_vm', {0: [10.0]})
        checker = VersionChecker(
            changes.get('writes', self.writes),
            returns,
            _disturb(*disturbances),
            started_at_by_vm,
        )
        return checker.check(calls, set(ran_ids))

    def test_answers_of_the_version_in_force_pass(self) -> None:
        """Guards against false positives."""
        calls = (
            _call(60.0, _NOT_FOUND),
            _call(102.0, _NOT_FOUND),
            _call(104.0, _OK),
            _call(122.0, _OK),
            _call(124.0, _NOT_FOUND),
        )
        self.assertEqual(self.check(*calls), [])

    def test_new_route_refused_after_the_bound_is_found(self) -> None:
        """Guards against a VM that keeps the version without the route."""
        self.assertEqual(len(self.check(_call(103.2, _NOT_FOUND))), 1)
        self.assertEqual(self.check(_call(102.9, _NOT_FOUND)), [])

    def test_dropped_route_served_after_the_bound_is_found(self) -> None:
        """Guards against a VM that keeps the version with the route."""
        self.assertEqual(len(self.check(_call(123.2, _OK))), 1)
        self.assertEqual(self.check(_call(122.9, _OK)), [])

    def test_dropped_route_that_runs_without_an_answer_is_found(self) -> None:
        """A request that timed out has run on the route all the same."""
        call = Call('r1', 'new', 'key-1', 0, 123.2, 123.2, 0)
        self.assertEqual(len(self.check(call, ran_ids=('r1',))), 1)
        self.assertEqual(self.check(call), [])

    def test_new_key_refused_after_the_bound_is_found(self) -> None:
        """Guards against a VM that keeps the version without the key."""
        writes = [
            _write_config(1, 50.0),
            _write_config(4, 100.0, keys=('key-1', 'key-2')),
        ]
        call = _call(103.2, 401, 'search', 'key-2')
        self.assertEqual(len(self.check(call, writes=writes)), 1)

    def test_other_failures_say_nothing(self) -> None:
        """A rejection for another reason is no old version."""
        self.assertEqual(self.check(_call(104.0, 503)), [])

    def test_vm_out_of_touch_is_excused(self) -> None:
        """Disturbances of this VM or the store count, and for 4 s."""
        call = _call(110.0, _NOT_FOUND)
        for disturbance in (
            Disturbance(0, 105.0, 106.5),
            Disturbance(None, 105.0, 106.5),
            Disturbance(0, 109.0),
        ):
            found = self.check(call, disturbances=(disturbance,))
            self.assertEqual(found, [])
        for disturbance in (
            Disturbance(0, 105.0, 105.5),
            Disturbance(1, 105.0, 109.0),
            Disturbance(None, 111.0, 112.0),
        ):
            found = self.check(call, disturbances=(disturbance,))
            self.assertEqual(len(found), 1)

    def test_lost_version_counts_once_written_again(self) -> None:
        """The bound runs from the acknowledgement that wasn't lost."""
        returns = (ReturnRecord(1, 101.0, 102.0),)
        disturbance = Disturbance(None, 101.0, 102.0)
        writes = self.writes[:2]
        call = _call(109.0, _NOT_FOUND)
        found = self.check(
            call,
            returns=returns,
            disturbances=(disturbance,),
            writes=writes,
        )
        self.assertEqual(found, [])
        writes.append(_write_config(4, 103.0, ('new',)))
        found = self.check(
            call,
            returns=returns,
            disturbances=(disturbance,),
            writes=writes,
        )
        self.assertEqual(len(found), 1)

    def test_older_version_than_before_is_found(self) -> None:
        """Guards against a VM that goes back within one life.

        The bound of the new version hasn't passed, and the VM is out of touch.
        """
        calls = (_call(100.5, _OK), _call(101.0, _NOT_FOUND))
        disturbance = Disturbance(None, 100.2)
        found = self.check(*calls, disturbances=(disturbance,))
        self.assertEqual(len(found), 1)
        restarted = {0: [10.0, 100.8]}
        found = self.check(
            *calls,
            disturbances=(disturbance,),
            started_at_by_vm=restarted,
        )
        self.assertEqual(found, [])

    def test_older_version_within_the_slack_passes(self) -> None:
        """A request that crosses the new version may follow the old one."""
        calls = (_call(100.5, _OK), _call(100.6, _NOT_FOUND))
        self.assertEqual(self.check(*calls), [])

    def test_return_to_a_dropped_route_is_found(self) -> None:
        """A 404 after the route was served proves the later version."""
        calls = (
            _call(101.0, _OK),
            _call(120.5, _NOT_FOUND),
            _call(121.0, _OK),
        )
        self.assertEqual(len(self.check(*calls)), 1)

    def test_other_vm_may_have_an_older_version(self) -> None:
        """Versions are compared within each VM only."""
        calls = (_call(100.5, _OK), _call(101.0, _NOT_FOUND, vm=1))
        self.assertEqual(self.check(*calls), [])

    def test_revocation_counts_from_the_first_acknowledgement(self) -> None:
        """A lost revocation is in force all the same."""
        writes = [
            _write_config(1, 50.0),
            _write_config(4, 100.0, keys=('key-2',)),
            _write_config(4, 110.0, keys=('key-2',)),
        ]
        returns = [ReturnRecord(1, 101.0, 102.0)]
        checker = VersionChecker(writes, returns, _disturb(), {})
        self.assertEqual(checker.compute_revoked_at_by_key(), {'key-1': 100.0})


class DrainCheckerTests(TestCase):
    """Requests that reach a leaving searcher too late are found."""

    def check(
        self,
        at: float,
        writes: list[WriteRecord],
        returns: tuple[ReturnRecord, ...] = (),
        disturbances: tuple[Disturbance, ...] = (),
    ) -> list[str]:
        """Return the violations of one request that arrives at a time."""
        call = _call(at, _OK, 'search')
        arrival = Arrival(call.request_id, 's', 'orders', at, False, None)
        checker = DrainChecker(writes, returns, _disturb(*disturbances))
        return checker.check([call], [arrival])

    def test_request_after_the_bound_is_found(self) -> None:
        """Guards against a VM that misses that a searcher drains."""
        for state in ('draining', None):
            writes = [
                _write_searcher(50.0, 'ready', 1),
                _write_searcher(100.0, state, 2),
            ]
            self.assertEqual(len(self.check(103.2, writes)), 1)
            self.assertEqual(self.check(102.9, writes), [])

    def test_searcher_that_is_ready_again_gets_requests(self) -> None:
        """Guards against a false positive after a drain."""
        writes = [
            _write_searcher(100.0, 'draining', 1),
            _write_searcher(110.0, 'ready', 2),
        ]
        self.assertEqual(self.check(110.5, writes), [])

    def test_lost_state_counts_once_written_again(self) -> None:
        """The bound runs from the repeated write, once the store is stable."""
        writes = [_write_searcher(100.0, 'draining', 5)]
        returns = (ReturnRecord(4, 101.0, 102.0),)
        disturbances = (Disturbance(None, 101.0, 102.0),)
        found = self.check(120.0, writes, returns, disturbances)
        self.assertEqual(found, [])
        writes.append(_write_searcher(103.0, 'draining', 5))
        found = self.check(108.9, writes, returns, disturbances)
        self.assertEqual(found, [])
        found = self.check(109.2, writes, returns, disturbances)
        self.assertEqual(len(found), 1)

    def test_vm_out_of_touch_is_excused(self) -> None:
        """Guards against a false positive after a pause."""
        writes = [_write_searcher(100.0, 'draining', 1)]
        paused = (Disturbance(0, 99.0, 107.0),)
        self.assertEqual(self.check(110.9, writes, (), paused), [])
        self.assertEqual(len(self.check(111.1, writes, (), paused)), 1)

    def test_health_check_is_no_request(self) -> None:
        """No caller sent it."""
        writes = [_write_searcher(100.0, 'draining', 1)]
        arrival = Arrival('', 's', 'orders', 110.0, False, None)
        checker = DrainChecker(writes, (), _disturb())
        self.assertEqual(checker.check([], [arrival]), [])
