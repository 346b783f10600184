"""Tests of waiting for a change, in virtual time."""

import unittest

import anyio
import httpx
from trio.testing import MockClock

from jacinthcart.admin._errors import ExitCode
from jacinthcart.admin._fleet import FleetClient
from jacinthcart.admin._watch import ChangeWatcher
from jacinthcart.settings import Endpoint

PATH = 'teams/team/workspaces/one'
ERROR = {'path': f'{PATH}/rate', 'rule': 'Input should be greater than 0'}


class FakeVms:
    """Answers status calls with scripted revisions, repeating the last."""

    def __init__(self, **steps_by_vm):
        self._steps_by_vm = steps_by_vm
        self.endpoints_by_vm = {
            vm_id: Endpoint(address='127.0.0.1', port=number)
            for number, vm_id in enumerate(steps_by_vm, start=1)
        }

    async def answer(self, request):
        vm_id = list(self._steps_by_vm)[request.url.port - 1]
        steps = self._steps_by_vm[vm_id]
        step = steps.pop(0) if len(steps) > 1 else steps[0]
        if step is None:
            raise httpx.ConnectError('refused')
        newest, in_force = step
        errors = [ERROR] if newest != in_force else []
        revisions = {'newest': newest, 'in_force': in_force}
        return httpx.Response(
            200,
            json={'path': revisions, 'errors': errors, 'ready': True},
        )


class WatchTest(unittest.TestCase):
    """The exit code tells whether the change is in force on all VMs."""

    def _watch(self, target, **steps_by_vm):
        vms = FakeVms(**steps_by_vm)
        self.lines = []

        async def run():
            client = FleetClient(
                vms.endpoints_by_vm,
                'key',
                httpx.MockTransport(vms.answer),
            )
            watcher = ChangeWatcher(client, PATH, target, self.lines.append)
            try:
                return await watcher.run(5)
            finally:
                await client.close()

        clock = MockClock(autojump_threshold=0)
        return anyio.run(
            run,
            backend='trio',
            backend_options={'clock': clock},
        )

    def test_waits_for_the_last_vm(self) -> None:
        """Guards against success while one VM still has the old value."""
        code = self._watch(7, a=[(7, 7)], b=[(6, 6), None, (6, 6), (7, 7)])
        self.assertEqual(code, ExitCode.SUCCESS)
        self.assertIn('in force on 1 of 2 VMs; waiting for: b', self.lines[0])

    def test_timeout_names_the_vms_that_lag(self) -> None:
        """Guards against counting an unresponsive VM as up to date."""
        code = self._watch(7, a=[(7, 7)], b=[(6, 6)], c=[None])
        self.assertEqual(code, ExitCode.TIMED_OUT)
        self.assertIn('b: revision in force is 6', self.lines)
        self.assertIn('c: refused', self.lines)

    def test_invalid_change_ends_at_once(self) -> None:
        """Guards against waiting for a value that the VMs reject."""
        code = self._watch(7, a=[(7, 6)], b=[(7, 6)])
        self.assertEqual(code, ExitCode.INVALID)
        self.assertIn(f'invalid: {ERROR["path"]}: {ERROR["rule"]}', self.lines)

    def test_path_without_a_value_on_any_vm(self) -> None:
        """Guards against success before any VM has received a new path."""
        code = self._watch(None, a=[(None, None)])
        self.assertEqual(code, ExitCode.TIMED_OUT)
