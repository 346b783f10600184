"""Tests of real VMs while their store comes back from an older copy.

Each verdict is on requests that are sent after the bound, however long that
takes, so it doesn't depend on the speed of the machine.
"""

import dataclasses
import pathlib
import random
import subprocess
import tempfile
import time
import unittest

import anyio
import httpx
from anyio.abc import TaskGroup

from jacinthcart_lab._processes import spawn
from jacinthcart_lab.platform_deployment import (
    DeploymentParameters,
    PlatformDeployment,
)

#: The users' `config_apply_ms` and `drain_ms`, in seconds.
_BOUND_S = 3.0
#: The users' `contact_ms` in seconds: a bound holds for a VM that has been
#: without disturbance for so long.
_CONTACT_S = 4.0
_AWAY_S = 0.6
_TIMEOUT_S = 60
_VM_COUNT = 4
#: A seed, which reads the store as soon as it starts.
_SEED_VM = 0
#: Writes that the store loses. They are more than what is written again, so
#: that the store doesn't reach its former revision.
_LOST_WRITES = 80
#: Requests to each VM after the bound.
_JUDGED_REQUESTS = 20
_OK = 200
_NOT_FOUND = 404
_TELLING_STATUSES = frozenset((_OK, _NOT_FOUND))
_LEAVING = 'orders-0'


@dataclasses.dataclass(frozen=True)
class Variant:
    """What happens to the store and the VMs."""

    #: Whether the store comes back from an older copy.
    has_return: bool = True
    #: Whether the store's answers tell its era.
    has_era_header: bool = True
    #: Whether a seed is killed and started after the last version is written.
    has_restart: bool = False


@dataclasses.dataclass(frozen=True)
class Sent:
    """A request that was answered."""

    #: Time at which it was sent, in seconds on the monotonic clock.
    at: float
    status: int


@dataclasses.dataclass
class Outcome:
    """What the callers and the leaving searcher observed."""

    #: Which of 200 and 404 the new route got after the bound, by number of
    #: the VM. Other statuses say nothing about the version in force.
    new_route_by_vm: dict[int, set[int]]
    #: VMs that answered 404 on a route that they had served before.
    regressed_vms: list[int]
    #: Number of requests that reached the leaving searcher after the bound.
    late_arrivals: int


_EXPECTED = Outcome(
    new_route_by_vm={number: {_OK} for number in range(_VM_COUNT)},
    regressed_vms=[],
    late_arrivals=0,
)


class _Scenario:
    """VMs with a deployment, and one caller for each VM and route."""

    def __init__(self, folder: pathlib.Path, variant: Variant) -> None:
        self._folder = folder
        self._variant = variant
        params = DeploymentParameters(vms=_VM_COUNT, shards=2, replicas=3)
        self._deployment = PlatformDeployment(params, random.Random(11))
        self._processes: dict[int, subprocess.Popen[bytes]] = {}
        self._sent_by_target: dict[tuple[int, str], list[Sent]] = {}
        self._requests = 0

    async def run(self) -> Outcome:
        try:
            async with anyio.create_task_group() as tasks:
                with anyio.fail_after(_TIMEOUT_S):
                    outcome = await self._play(tasks)
                await self._deployment.close()
                tasks.cancel_scope.cancel()
        finally:
            for process in self._processes.values():
                process.kill()
                process.wait()
        return outcome

    async def _play(self, tasks: TaskGroup) -> Outcome:
        deployment = self._deployment
        deployment.store.has_era_header = self._variant.has_era_header
        await deployment.start(tasks)
        for number in range(_VM_COUNT):
            self._start_vm(number)
            self._start_caller(number, 'search', tasks)
        await self._wait_until_served('search')
        copied_at = time.monotonic()
        deployment.extra_routes.append('early')
        deployment.publish_config()
        for _ in range(_LOST_WRITES):
            deployment.publish_searcher(_LEAVING)
        for number in range(_VM_COUNT):
            self._start_caller(number, 'early', tasks)
        await self._wait_until_served('early')
        served_at = time.monotonic()
        if self._variant.has_return:
            await deployment.writers.play_return(
                time.monotonic() - copied_at, _AWAY_S, tasks
            )
            while deployment.writers.pending_count:
                await anyio.sleep(0.01)
        deployment.extra_routes.append('new')
        deployment.publish_config()
        deployment.publish_searcher(_LEAVING, 'draining')
        for number in range(_VM_COUNT):
            self._start_caller(number, 'new', tasks)
        judged_from = self._compute_bound()
        if self._variant.has_restart:
            self._processes[_SEED_VM].kill()
            self._processes[_SEED_VM].wait()
            self._start_vm(_SEED_VM)
            restart_bound = time.monotonic() + _CONTACT_S + _BOUND_S
            judged_from = max(judged_from, restart_bound)
        await self._wait_for_judged_requests(judged_from)
        return self._judge(served_at, judged_from)

    def _compute_bound(self) -> float:
        writers = self._deployment.writers
        bound = writers.writes[-1].at + _BOUND_S
        if writers.returns:
            bound = max(bound, writers.returns[-1].back_at + _CONTACT_S)
        return bound

    def _judge(self, served_at: float, judged_from: float) -> Outcome:
        return Outcome(
            {
                number: {
                    one.status
                    for one in self._sent_by_target[number, 'new']
                    if one.at > judged_from and one.status in _TELLING_STATUSES
                }
                for number in range(_VM_COUNT)
            },
            [
                number
                for number in range(_VM_COUNT)
                if any(
                    one.at > served_at and one.status == _NOT_FOUND
                    for one in self._sent_by_target[number, 'early']
                )
            ],
            sum(
                one.searcher_id == _LEAVING and one.at > judged_from
                for one in self._deployment.arrivals
            ),
        )

    def _start_vm(self, number: int) -> None:
        path = self._deployment.write_settings(number, self._folder)
        self._processes[number] = spawn(
            self._folder / f'vm-{number}.log',
            'jacinthcart.platform',
            environment={'JACINTHCART_CONFIG': str(path)},
        )

    def _start_caller(self, vm: int, route: str, tasks: TaskGroup) -> None:
        self._sent_by_target[vm, route] = []
        tasks.start_soon(self._call, vm, route)

    async def _call(self, vm: int, route: str) -> None:
        address = self._deployment.addresses[vm]
        url = f'http://{address}:{self._deployment.callers_port}/{route}/x'
        async with httpx.AsyncClient(timeout=5) as client:
            while True:
                await self._send(client, url, self._sent_by_target[vm, route])
                await anyio.sleep(0.05)

    async def _send(
        self, client: httpx.AsyncClient, url: str, sent: list[Sent]
    ) -> None:
        self._requests += 1
        sent_at = time.monotonic()
        try:
            response = await client.get(
                url,
                headers={
                    'Host': 'shop.example',
                    'X-Jacinthcart-Request-Id': f'{self._requests:016x}',
                    'X-Jacinthcart-Deadline-Ms': '2000',
                    'X-Jacinthcart-Credential': 'key-1',
                },
            )
        except httpx.TransportError:
            # The VM isn't running.
            return
        sent.append(Sent(sent_at, response.status_code))

    async def _wait_until_served(self, route: str) -> None:
        targets = [
            self._sent_by_target[number, route] for number in range(_VM_COUNT)
        ]
        while not all(
            any(one.status == _OK for one in sent) for sent in targets
        ):
            await anyio.sleep(0.01)

    async def _wait_for_judged_requests(self, judged_from: float) -> None:
        while any(
            sum(one.at > judged_from for one in sent) < _JUDGED_REQUESTS
            for sent in self._sent_by_target.values()
        ):
            await anyio.sleep(0.01)


def _play(variant: Variant) -> Outcome:
    with tempfile.TemporaryDirectory() as name:
        scenario = _Scenario(pathlib.Path(name), variant)
        return anyio.run(scenario.run)


class StoreReturnTests(unittest.TestCase):
    """What is written after a return is in force on all VMs in time."""

    def setUp(self) -> None:
        """Print outcomes in full."""
        self.maxDiff = None

    def test_writes_without_a_return_are_in_force(self) -> None:
        """Shows that the tests below fail because of the return alone."""
        self.check(Variant(has_return=False))

    def test_writes_after_a_return_are_in_force(self) -> None:
        """Guards against items dropped because their revision is lower."""
        self.check(Variant())

    def test_writes_after_a_return_without_header_are_in_force(self) -> None:
        """Guards against a return that is known by the header only."""
        self.check(Variant(has_era_header=False))

    def test_seed_that_starts_after_a_return_isn_t_alone_ahead(self) -> None:
        """Guards against proofs of freshness for the peers' older copies."""
        self.check(Variant(has_restart=True))

    def check(self, variant: Variant) -> None:
        """Play a variant and compare what was observed."""
        outcome = _play(variant)
        self.assertEqual(
            dataclasses.asdict(outcome), dataclasses.asdict(_EXPECTED)
        )
