"""A fleet of gathers with fake searchers and a fake network."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from trio.testing import MockClock

from jacinthcart.dispatch import PartCall, PartResult
from jacinthcart.errors import NotSentError, OutcomeUnknownError, RefusalError
from jacinthcart.feed import StateFeed
from jacinthcart.gather._app import encode_refusal
from jacinthcart.gather._backend import BaseDispatcher
from jacinthcart.gather._context import GatherContext
from jacinthcart.gather._peers import PeerSet
from jacinthcart.gather._plan import OwnerTable
from jacinthcart.gather._request_ids import RequestIdRegistry
from jacinthcart.gather._service import GatherService
from jacinthcart.settings import ProcessSettings, SettingsValue
from jacinthcart.telemetry import DecisionLog, Metrics
from jacinthcart.wire import HttpResponse, encode_json

SERVICE_ID = 'team/catalogue'
SERVICE_PATH = 'teams/team/services/catalogue'
_FIRST_PORT = 7000

PartRunner = Callable[[PartCall], Awaitable[PartResult]]


def run_in_virtual_time(body: Callable[[], Awaitable[Any]]) -> Any:
    """Run a test body whose sleeps take no wall-clock time."""
    clock = MockClock(autojump_threshold=0)
    return anyio.run(body, backend='trio', backend_options={'clock': clock})


def create_service(
    part_count: int = 3,
    owners: int = 1,
    **fields: Any,
) -> dict[str, Any]:
    """Return a service of parts `p0`, `p1`, … with two shards each."""
    return {
        'parts_by_name': {
            f'p{part}': {
                'shards': [2 * part, 2 * part + 1],
                'searchers_by_id': {
                    f's{part}': {
                        'address': '127.0.0.1',
                        'port': 9000 + part,
                        'data_centre': 'dc0',
                    },
                },
            }
            for part in range(part_count)
        },
        'index_versions': [7, 6],
        'slots': 4,
        'connection_limit': 4 * owners,
        'connections_per_owner': 2,
        **fields,
    }


def answer_all(call: PartCall) -> PartResult:
    """Return one hit for each shard, named by version and shard."""
    return PartResult(
        {
            shard: [
                {
                    'id': f'{call.snapshot.index_version}-{shard}',
                    'score': shard,
                },
            ]
            for shard in call.shards
        },
        {},
    )


class FakeFeed(StateFeed):
    """A feed whose settings, lease and clock are set by the test."""

    #: Seconds by which the VM's clock is ahead, as after a pause.
    paused_s = 0.0
    lease = True

    def is_serving(self) -> bool:
        """Return whether the test grants the lease."""
        return self.lease


class FakeDispatcher(BaseDispatcher):
    """Answers every part, or calls `runner`; records the calls."""

    def __init__(self, runner: PartRunner | None) -> None:
        """Start without calls."""
        self.calls: list[PartCall] = []
        self.runner = runner

    async def run(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    def describe(self) -> dict[str, Any]:
        """Return nothing."""
        return {}

    async def run_part(self, call: PartCall) -> PartResult:
        """Record the call and answer it."""
        self.calls.append(call)
        if self.runner is None:
            return answer_all(call)
        return await self.runner(call)


class Vm:
    """The gather of one VM."""

    def __init__(
        self,
        fleet: 'Fleet',
        number: int,
        runner: PartRunner | None,
    ) -> None:
        """Start with the fleet's settings."""
        self.vm_id = f'vm{number}'
        self.feed = FakeFeed(
            ProcessSettings.model_validate(
                {
                    'vm_id': self.vm_id,
                    **fleet.describe_vm(number),
                    'admin_key_sha256': '0' * 64,
                    'config_service': {'address': '127.0.0.1', 'port': 1},
                },
            ),
            'gather',
            lambda: anyio.current_time() + self.feed.paused_s,
        )
        self.dispatcher = FakeDispatcher(runner)
        self.peers = PeerSet(self.feed.clock, fleet.open_pool)
        self.metrics = Metrics()
        self.restart()

    def restart(self) -> None:
        """Start without known request ids, as a new process does."""
        self.service = GatherService(
            GatherContext(
                self.feed,
                self.dispatcher,
                self.peers,
                OwnerTable(),
                self.metrics,
            ),
            RequestIdRegistry(self.vm_id, self.feed.clock, random.Random()),
            DecisionLog(),
        )

    async def query(self, **fields: Any) -> dict[str, Any]:
        """Run one query from this VM's entry; raise RefusalError."""
        message = {
            'request_id': 'r1',
            'service_id': SERVICE_ID,
            'workspace_id': 'team/shop',
            'request_class': 'priority',
            'route_kind': 'search',
            'deadline_ms': 1000,
            'query': {},
            **fields,
        }
        return await self.service.run_query(encode_json(message))

    async def submit(self, request_id: str) -> dict[str, Any]:
        """Run one non-idempotent request."""
        return await self.query(request_id=request_id, route_kind='submit')


class FakePool:
    """Delivers subqueries to the gather that listens on a port."""

    def __init__(self, fleet: 'Fleet', port: int) -> None:
        """Store the receiving VM."""
        self._fleet = fleet
        self._vm_id = f'vm{port - _FIRST_PORT}'

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        timeout_s: float = 5,
    ) -> HttpResponse:
        """Deliver one subquery with the faults that the test injects."""
        fleet = self._fleet
        fleet.sent.append(self._vm_id)
        if self._vm_id in fleet.unreachable:
            raise NotSentError('connection refused')
        with anyio.fail_after(timeout_s):
            await anyio.sleep(fleet.delay_s_by_vm.get(self._vm_id, 0))
            response = await self._run(body)
        if self._vm_id in fleet.breaking:
            raise OutcomeUnknownError('connection broke')
        return response

    async def close(self) -> None:
        """Do nothing."""

    async def _run(self, body: bytes) -> HttpResponse:
        vm = self._fleet.vms_by_id[self._vm_id]
        try:
            message = await vm.service.run_subquery(body)
        except RefusalError as refusal:
            return HttpResponse(409, {}, encode_json(encode_refusal(refusal)))
        message = self._fleet.change_reply(self._vm_id, message)
        return HttpResponse(200, {}, encode_json(message))


class Fleet:
    """Gathers `vm0`, `vm1`, … with one service and network faults."""

    def __init__(
        self,
        service: dict[str, Any],
        vm_count: int = 3,
        runner: PartRunner | None = None,
    ) -> None:
        """Start all gathers with the same settings."""
        #: Receiving VM of each subquery, in the order of sending.
        self.sent: list[str] = []
        #: VMs that refuse connections.
        self.unreachable: set[str] = set()
        #: VMs that run a subquery but whose reply is lost.
        self.breaking: set[str] = set()
        self.delay_s_by_vm: dict[str, float] = {}
        self.change_reply: Callable[[str, Any], Any] = lambda _vm, reply: reply
        self.revision = 0
        self.vms_by_id = {
            f'vm{number}': Vm(self, number, runner)
            for number in range(vm_count)
        }
        self.apply('fleet/policy', {'merge_margin_ms': 10})
        self.apply(
            'fleet/roster',
            {
                'vms_by_id': {
                    f'vm{number}': self.describe_vm(number)
                    for number in range(vm_count)
                },
            },
        )
        self.apply(SERVICE_PATH, service)

    def describe_vm(self, number: int) -> dict[str, Any]:
        """Return a VM's roster entry."""
        return {
            'address': '127.0.0.1',
            'data_centre': f'dc{number}',
            'entry_port': 1,
            'gather_port': _FIRST_PORT + number,
            'control_port': 1,
            'admin_port': 1,
        }

    def apply(self, path: str, json_value: Any) -> None:
        """Apply one settings value on every VM."""
        self.revision += 1
        for vm in self.vms_by_id.values():
            vm.feed.store.apply(
                {path: SettingsValue(self.revision, json_value)},
                self.revision,
            )
            assert not vm.feed.store.errors, vm.feed.store.errors

    def open_pool(self, _address: str, port: int) -> FakePool:
        """Return the pool of connections to one VM."""
        return FakePool(self, port)

    def get_owners(self, part: str) -> tuple[str, ...]:
        """Return the VMs that own a part."""
        view = self.vms_by_id['vm0'].feed.view
        return OwnerTable().get_owners(view, SERVICE_ID, part)

    def find_non_owner(self, part: str) -> Vm:
        """Return a VM that does not own the part."""
        owners = self.get_owners(part)
        return next(
            vm for vm in self.vms_by_id.values() if vm.vm_id not in owners
        )

    def list_calls(self) -> list[PartCall]:
        """Return the calls of all dispatchers."""
        return [
            call
            for vm in self.vms_by_id.values()
            for call in vm.dispatcher.calls
        ]
