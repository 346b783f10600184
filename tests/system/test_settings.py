"""Revoked keys and outages of the configuration service."""

import contextlib
import time
from collections.abc import Sequence

import httpx

from jacinthcart_lab import make_key
from tests.system._case import SystemTestCase
from tests.system._system import (
    IN_FORCE_S,
    ISOLATION_MS,
    LEASE_MS,
    TIMEOUT_S,
    SEARCH,
    SUBMIT,
    wait_for,
)
from tests.system._traffic import Traffic

_ALL_PROGRAMS = ('entry', 'gather', 'control')
_OK = 200
_UNAUTHORIZED = 401
#: Time between the resumption of a VM and the checks of its replies.
_SETTLE_S = 1
#: Maximum time until a VM that lost contact stops serving.
_STOP_S = (LEASE_MS + ISOLATION_MS) / 1000
#: Requests sent before the other VMs resume, and again after the first
#: refusal of the revoked key.
_LATE_REQUESTS = 50


class RevokedKeyTest(SystemTestCase):
    """A key is revoked while its caller keeps its connection."""

    def setUp(self) -> None:
        super().setUp()
        self._path = 'teams/voskovka/keys/kavarna-2'
        self._key = make_key('voskovka', 'kavarna-2')
        self._granted = self.fleet.values[self._path]
        self._client = httpx.Client()
        self.addCleanup(self._client.close)
        self._wait_for_status(_OK, self.system.vm_ids, TIMEOUT_S)

    def tearDown(self) -> None:
        self.fleet.emulators.set_config_fault(down=False)
        revision = self.system.put(self._path, self._granted)
        self.system.wait_for_revision(revision)

    def test_refused_on_every_vm(self) -> None:
        """Guards against keys that stay valid on an open connection."""
        self.system.put(self._path, {'sha256_digests': []})
        self._wait_for_status(_UNAUTHORIZED, self.system.vm_ids, IN_FORCE_S)
        for vm_id in self.system.vm_ids * 3:
            self.assertEqual(self._status(vm_id), _UNAUTHORIZED)

    def test_refused_by_a_vm_paused_over_the_change(self) -> None:
        """Guards against serving with stale settings after a pause."""
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
            # vm-4 has resumed with the settings from before its pause. It gets
            # newer ones neither from the service nor from the other VMs.
            time.sleep(_SETTLE_S)
            statuses = [self._status('vm-4') for _ in range(_LATE_REQUESTS)]
        deadline = time.monotonic() + TIMEOUT_S
        while _UNAUTHORIZED not in statuses[:-_LATE_REQUESTS]:
            statuses.append(self._status('vm-4'))
            self.assertLess(time.monotonic(), deadline, statuses)
        self.assertNotIn(_OK, statuses)

    def _wait_for_status(
        self,
        status: int,
        vm_ids: Sequence[str],
        timeout_s: float,
    ) -> None:
        wait_for(
            lambda: {self._status(vm_id) for vm_id in vm_ids} == {status},
            f'{vm_ids} answer with status {status}',
            timeout_s,
        )

    def _status(self, vm_id: str) -> int | None:
        reply = self.system.send_request(
            vm_id, key=self._key, client=self._client
        )
        return None if reply is None else reply.status_code


class ServiceOutageTest(SystemTestCase):
    """The configuration service is down or loses changes."""

    def tearDown(self) -> None:
        self.fleet.emulators.set_config_fault(down=False)
        self.system.wait_until_complete()

    def test_outage_and_restart_at_an_older_revision(self) -> None:
        """Guards against an outage that stops the fleet or reverts settings."""
        path = 'teams/voskovka/keys/kavarna-3'
        old_key = make_key('voskovka', 'kavarna-3')
        revision_before = self.system.put(path, self.fleet.values[path])
        revision = self.system.put(path, {'sha256_digests': []})
        self.system.wait_for_revision(revision)
        emulators = self.fleet.emulators
        with Traffic(self.system, seed=4) as traffic:
            emulators.set_config_fault(down=True)
            time.sleep(1.5 * ISOLATION_MS / 1000)
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
            traffic.wait_for_answers(SUBMIT, *self.system.vm_ids)
            self.system.kill_and_restart('vm-4')
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
            emulators.set_config_fault(restart_at=revision_before, down=False)
            self.system.kill_and_restart('vm-3')
            statuses = self._send_until_refused('vm-3', old_key)
            self.assertNotIn(_OK, statuses)
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
        self.check_records(traffic)
        for vm_id in self.system.vm_ids:
            status = self.system.read_admin(vm_id, f'status?path={path}')
            self.assertEqual(status['path']['in_force'], revision)
            self._send_until_refused(vm_id, old_key)
        # VMs ignore a revision of a path that they already have, so the
        # service must advance beyond the revisions that it lost.
        for _ in range(3):
            revision = emulators.put(self.fleet.values)
        self.system.wait_for_revision(revision)

    def _send_until_refused(self, vm_id: str, key: str) -> set[int]:
        statuses: set[int] = set()

        def is_refused() -> bool:
            reply = self.system.send_request(vm_id, key=key)
            statuses.add(0 if reply is None else reply.status_code)
            return _UNAUTHORIZED in statuses

        wait_for(is_refused, f'{vm_id} refuses the revoked key')
        return statuses

    def test_invalid_subtree_beside_a_valid_change(self) -> None:
        """Guards against an invalid change of one team blocking another."""
        invalid_path = 'teams/voskovka/services/katalog'
        valid_path = 'teams/fjordsom/routes/patterns'
        original_value = self.fleet.values[invalid_path]
        changed = self.fleet.values[valid_path] | {'deadline_ms': 1500}
        with Traffic(self.system, seed=5) as traffic:
            revision = self.fleet.emulators.put(
                {invalid_path: {'parts_by_name': {}}, valid_path: changed},
            )
            self.system.wait_for_revision(revision)
            for vm_id in self.system.vm_ids:
                status = self.system.read_admin(
                    vm_id, f'status?path={valid_path}'
                )
                self.assertEqual(status['path']['in_force'], revision)
                errors = [error['path'] for error in status['errors']]
                self.assertTrue(errors)
                self.assertTrue(
                    all(path.startswith(invalid_path) for path in errors)
                )
                status = self.system.read_admin(
                    vm_id, f'status?path={invalid_path}'
                )
                self.assertLess(status['path']['in_force'], revision)
            traffic.wait_for_answers(SEARCH, *self.system.vm_ids)
            revision = self.system.put(invalid_path, original_value)
            self.system.wait_for_revision(revision)
            for vm_id in self.system.vm_ids:
                status = self.system.read_admin(
                    vm_id, f'status?path={invalid_path}'
                )
                self.assertEqual(status['path']['in_force'], revision)
        self.check_records(traffic)
