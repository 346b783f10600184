"""A fleet of real processes with the operations that the tests need."""

import contextlib
import dataclasses
import pathlib
import signal
import tempfile
import time
from collections.abc import Callable, Iterator
from typing import Any

import httpx

from jacinthcart_lab import (
    ADMIN_KEY,
    Fleet,
    FleetError,
    TeamSpec,
    build_fjordsom,
    build_voskovka,
    make_key,
)

VM_COUNT = 4
LEASE_MS = 1500
ISOLATION_MS = 2500
RAMP_STEP_MS = 1000
#: Maximum time until a change is in force on every VM.
IN_FORCE_S = 6
#: Timeout for expected states, which are reached much earlier.
TIMEOUT_S = 40
SEARCH = 'voskovka/katalog-search'
SUBMIT = 'voskovka/refill'
WORKSPACE = 'voskovka/kavarna-1'
KEY = make_key('voskovka', 'kavarna-1')
_FIRST_PORT = 35000
_POLL_S = 0.05
_CALL_TIMEOUT_S = 5
_VIOLATION = 'invariant_violation'
#: Rate per second and burst of each workspace, so high that no request of
#: these tests is refused for its rate.
_LIMITS = (2000.0, 4000.0)
_OK = 200


class System:
    """The fleet with operations to signal, query and wait for it."""

    def __init__(self) -> None:
        """Create a fleet in a temporary folder; `start` starts it."""
        self._folder = tempfile.TemporaryDirectory()
        self.fleet = Fleet(
            pathlib.Path(self._folder.name),
            (_raise_limits(build_voskovka(0.2)), build_fjordsom(0.2)),
            VM_COUNT,
            {
                'serving_lease_ms': LEASE_MS,
                'isolation_ms': ISOLATION_MS,
                'ramp_step_ms': RAMP_STEP_MS,
                'drain_announce_ms': 300,
                'addresses_keep_ms': 500,
            },
            first_port=_FIRST_PORT,
        )
        self.vm_ids = tuple(self.fleet.vms_by_id)

    def start(self) -> None:
        """Start every process and wait until all searchers are warm."""
        self.fleet.start()
        self.fleet.wait_until_ready()
        self.wait_until_complete()

    def close(self) -> None:
        """Kill all running processes and remove the folder."""
        self.fleet.close()
        self._folder.cleanup()

    def send_signal(
        self,
        vm_id: str,
        program: str,
        number: signal.Signals,
    ) -> None:
        """Send a signal to one program of one VM."""
        vm = self.fleet.vms_by_id[vm_id]
        process = vm.processes_by_program[program]
        process.send_signal(number)
        if number is signal.SIGKILL:
            process.wait()

    @contextlib.contextmanager
    def paused(self, vm_id: str, *programs: str) -> Iterator[None]:
        """Suspend programs of a VM with SIGSTOP while the context is open."""
        for program in programs:
            self.send_signal(vm_id, program, signal.SIGSTOP)
        try:
            yield
        finally:
            for program in programs:
                self.send_signal(vm_id, program, signal.SIGCONT)

    def kill_and_restart(self, vm_id: str) -> None:
        """Kill all programs of a VM and restart them."""
        self.fleet.send_signal(vm_id, signal.SIGKILL)
        vm = self.fleet.vms_by_id[vm_id]
        for process in vm.processes_by_program.values():
            process.wait()
        self.fleet.start_vm(vm_id)

    def put(self, path: str, value: Any) -> int:
        """Publish one settings value; return the revision."""
        self.fleet.values[path] = value
        return self.fleet.emulators.put({path: value})

    def wait_until_complete(self) -> None:
        """Wait until every VM answers searches with all shards."""
        wait_for(
            lambda: all(map(self.serves_all_shards, self.vm_ids)),
            'every VM answers with all shards',
        )

    def serves_all_shards(self, vm_id: str, key: str = KEY) -> bool:
        """Return whether a VM answers a search with all shards."""
        reply = self.send_request(vm_id, key=key)
        if reply is None or reply.status_code != _OK:
            return False
        return bool(reply.json()['coverage']['complete'])

    def send_request(
        self,
        vm_id: str,
        route: str = SEARCH,
        *,
        key: str = KEY,
        client: httpx.Client | None = None,
        **fields: Any,
    ) -> httpx.Response | None:
        """Send a request to a VM; return None if the connection fails."""
        team, name = route.split('/')
        url = self.get_entry_url(vm_id)
        body = {'query': {'text': 'vosk', 'id': 'a'}, 'deadline_ms': 1000}
        with contextlib.suppress(httpx.TransportError):
            return (client or httpx).post(
                f'{url}/v1/teams/{team}/routes/{name}',
                json=body | fields,
                headers={'authorization': f'Bearer {key}'},
                timeout=_CALL_TIMEOUT_S,
            )
        return None

    def get_entry_url(self, vm_id: str) -> str:
        """Return the base URL of a VM's entry."""
        return self.fleet.vms_by_id[vm_id].entry_url

    def fetch_prefix(self, vm_id: str) -> str:
        """Return the id prefix of submits whose home is this VM."""
        url = self.get_entry_url(vm_id)
        reply = httpx.get(f'{url}/v1/addresses', timeout=_CALL_TIMEOUT_S)
        return str(reply.json()['request_id_prefix'])

    def read_admin(self, vm_id: str, name: str) -> dict[str, Any]:
        """Query the administration API of a VM."""
        url = self.fleet.vms_by_id[vm_id].admin_url
        reply = httpx.get(
            f'{url}/admin/v1/{name}',
            headers={'authorization': f'Bearer {ADMIN_KEY}'},
            timeout=_CALL_TIMEOUT_S,
        )
        return dict(reply.raise_for_status().json())

    def sum_counters(self, prefix: str) -> int:
        """Return the sum of all VMs' counters whose name has `prefix`."""
        return sum(
            count
            for vm_id in self.vm_ids
            for name, count in self._read_counters(vm_id).items()
            if name.startswith(prefix)
        )

    def find_violations(self) -> dict[str, int]:
        """Return the violation counters of all VMs, summed over programs."""
        found: dict[str, int] = {}
        for vm_id in self.vm_ids:
            for name, count in self._read_counters(vm_id).items():
                if name.startswith(_VIOLATION):
                    found[f'{vm_id} {name}'] = count
        return found

    def wait_for_revision(self, revision: int) -> None:
        """Wait until every VM has received `revision`."""
        wait_for(
            lambda: min(map(self._read_revision, self.vm_ids)) >= revision,
            f'every VM has received revision {revision}',
        )

    def count_received(self, *searchers: str) -> dict[str, int]:
        """Return how many requests searchers received, by searcher id."""
        counts = self.fleet.emulators.read_searcher_counts()
        return {name: counts[name].get('received', 0) for name in searchers}

    def _read_counters(self, vm_id: str) -> dict[str, int]:
        return dict(self.read_admin(vm_id, 'histograms')['counters'])

    def _read_revision(self, vm_id: str) -> int:
        return int(self.read_admin(vm_id, 'status')['revision'])


def wait_for(
    condition: Callable[[], bool],
    description: str,
    timeout_s: float = TIMEOUT_S,
) -> None:
    """Wait until `condition` is true; raise FleetError on timeout.

    `description` names the expected state in the error.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(_POLL_S)
    raise FleetError(f'state not reached within {timeout_s} s: {description}')


def _raise_limits(team: TeamSpec) -> TeamSpec:
    return dataclasses.replace(
        team,
        limits_by_workspace=dict.fromkeys(team.limits_by_workspace, _LIMITS),
    )
