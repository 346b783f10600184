"""Programs and VMs that crash, pause, leave or restart under traffic."""

import copy
import itertools
import signal
import time
from typing import Any

import httpx

from jacinthcart.errors import Ran
from tests.system._caller_traffic import CallerTraffic
from tests.system._case import SystemTestCase
from tests.system._system import (
    SEARCH,
    SUBMIT,
    wait_for,
)
from tests.system._traffic import Traffic

_ALL_PROGRAMS = ('entry', 'gather', 'control')
#: Time after which no request may reach a server that was taken out.
_SETTLE_S = 1
#: Makes a submit of 3 ms take about 200 ms.
_SUBMIT_FACTOR = 60


class KilledProgramTest(SystemTestCase):
    """A program is killed with SIGKILL."""

    def test_killed_program_of_one_vm(self) -> None:
        """Guards against a fleet-wide outage when one program is killed.

        No submit may run twice, and none that ran may be refused as not run.
        Submits are slowed down so that one is running when a program is
        killed.
        """
        others = self.system.vm_ids[1:]
        self.set_slowdown(_SUBMIT_FACTOR, 'objednavky-0-0', 'objednavky-0-1')
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


class PausedProgramTest(SystemTestCase):
    """A program is suspended and resumes late."""

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
        """Guards against running a submit after its deadline."""
        request_id = f'{self.system.fetch_prefix("vm-3")}.paused'
        with Traffic(self.system, seed=3) as traffic:
            with self.system.paused('vm-3', 'gather'):
                reply = self.system.send_request(
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
        reply = self.system.send_request(vm_id)
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


class PlannedChangeTest(SystemTestCase):
    """Operators take data centres, searchers and VMs out of service."""

    def tearDown(self) -> None:
        revision = self.fleet.emulators.put(self.fleet.values)
        self.system.wait_for_revision(revision)

    def test_data_centre_out_and_back_twice(self) -> None:
        """Guards against requests to a data centre that is out of service.

        Once it is back in service, it must receive requests again.
        """
        path = 'fleet/data_centres'
        states = self.fleet.values[path]['state_by_name']
        vm = self.fleet.vms_by_id['vm-1']
        data_centre = vm.settings['data_centre']
        inside = self._find_searchers(data_centre)
        others = self.system.vm_ids[1:]
        with Traffic(self.system, seed=7) as traffic:
            for _ in range(2):
                out = {'state_by_name': states | {data_centre: 'out'}}
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
                self.system.wait_until_complete()
                self.assertNotEqual(
                    self.system.count_received(*inside),
                    received,
                )
        self.check_records(traffic)

    def test_leaving_searcher(self) -> None:
        """Guards against requests to a searcher that is leaving."""
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
        """Guards against requests that a graceful shutdown interrupts."""
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
        self.system.wait_until_complete()

    def _find_searchers(self, data_centre: str) -> list[str]:
        parts = itertools.chain.from_iterable(
            service['parts_by_name'].values()
            for path, service in self.fleet.values.items()
            if path.startswith('teams/voskovka/services/')
        )
        return [
            searcher_id
            for part in parts
            for searcher_id, searcher in part['searchers_by_id'].items()
            if searcher['data_centre'] == data_centre
        ]

    def _put(self, values: dict[str, Any]) -> None:
        revision = self.fleet.emulators.put(values)
        self.system.wait_for_revision(revision)
        time.sleep(_SETTLE_S)
