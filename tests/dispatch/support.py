"""A small fleet of dispatchers and fake searchers in virtual time."""

import dataclasses
import math
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import anyio
import trio
from trio.testing import MockClock

from jacinthcart.dispatch import (
    BaseSearcherClient,
    Dispatcher,
    PartCall,
    SearcherRefusalError,
    SearcherReply,
    SearcherTarget,
    SearchMessage,
    Snapshot,
)
from jacinthcart.errors import NotSentError
from jacinthcart.feed import StateFeed, WarmEntry
from jacinthcart.ownership import (
    find_part_owners,
    find_warmer,
    qualify_searcher,
)
from jacinthcart.settings import (
    ProcessSettings,
    RequestClass,
    SettingsValue,
)
from jacinthcart.telemetry import DecisionLog, Metrics, create_logger
from jacinthcart.warming import merge_warm_entries

SERVICE_ID = 'team/katalog'
S0 = f'{SERVICE_ID}/s0'
S1 = f'{SERVICE_ID}/s1'
SNAPSHOT = Snapshot(index_version=7, partition_map=3)
PROCESS = {
    'data_centre': 'dc-a',
    'address': '127.0.0.1',
    'entry_port': 1,
    'gather_port': 2,
    'control_port': 3,
    'admin_port': 4,
    'admin_key_sha256': '0' * 64,
    'config_service': {'address': '127.0.0.1', 'port': 5},
}
ROSTER_ENTRY = {
    'address': '127.0.0.1',
    'data_centre': 'dc-a',
    'entry_port': 1,
    'gather_port': 2,
    'control_port': 3,
    'admin_port': 4,
}


def run_virtual(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario in trio's virtual time."""
    clock = MockClock(autojump_threshold=0)
    anyio.run(scenario, backend='trio', backend_options={'clock': clock})


@dataclasses.dataclass
class FakeSearcher:
    """A searcher that records the requests that reach it."""

    searcher_id: str
    latency_s: float = 0.01
    generation: str = 'g1'
    state: str = 'warm'
    refusal: str = ''
    versions: frozenset[int] = frozenset((SNAPSHOT.index_version,))
    in_flight: int = 0
    peak_in_flight: int = 0
    in_flight_by_vm: Counter[int] = dataclasses.field(default_factory=Counter)
    messages: list[SearchMessage] = dataclasses.field(default_factory=list)
    cancelled: int = 0
    change_reply: Callable[[SearcherReply], SearcherReply] | None = None
    failure: Exception | None = None
    draw_latency_s: Callable[[], float] | None = None
    #: Called with the sending VM's number when a request arrives.
    on_search: Callable[[int], None] | None = None
    #: Called with the VM's number and the state that a response reports.
    on_response: Callable[[int, str], None] | None = None
    #: Number of requests that ran; excludes refused ones.
    runs: int = 0

    async def answer(self, message: SearchMessage, vm: int) -> SearcherReply:
        """Record a request and reply after the latency."""
        self.messages.append(message)
        self.in_flight += 1
        self.in_flight_by_vm[vm] += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        generation, state = self.generation, self.state
        try:
            if self.on_search:
                self.on_search(vm)
            await anyio.sleep(
                self.draw_latency_s() if self.draw_latency_s else self.latency_s
            )
        except trio.Cancelled:
            self.cancelled += 1
            raise
        finally:
            self.in_flight -= 1
            self.in_flight_by_vm[vm] -= 1
        if self.on_response:
            self.on_response(vm, state)
        self._refuse(message, generation, state)
        self.runs += 1
        reply = SearcherReply(
            message.sub_id,
            generation,
            state,
            0.0,
            message.snapshot,
            {shard: [{'id': f's{shard}'}] for shard in message.shards},
        )
        return self.change_reply(reply) if self.change_reply else reply

    def _refuse(
        self, message: SearchMessage, generation: str, state: str
    ) -> None:
        if self.failure:
            self.runs += not isinstance(self.failure, NotSentError)
            raise self.failure
        code = self.refusal
        if message.snapshot.index_version not in self.versions:
            code = 'wrong_version'
        if code:
            raise SearcherRefusalError(code, generation, state, self.versions)


class FakeClient(BaseSearcherClient):
    """Calls a fake searcher directly, without a network."""

    def __init__(self, searcher: FakeSearcher, vm: int) -> None:
        """Send to `searcher` as the VM with number `vm`."""
        self.searcher = searcher
        self.vm = vm

    async def search(
        self, message: SearchMessage, deadline: float
    ) -> SearcherReply:
        """Return the searcher's reply."""
        return await self.searcher.answer(message, self.vm)

    async def cancel(self, sub_id: str) -> None:
        """Do nothing: cancelling the task has ended the request."""

    async def close(self) -> None:
        """Do nothing."""


class FakeFeed(StateFeed):
    """A feed whose state tests set directly."""

    is_lease_valid = True

    def __init__(self, *arguments: Any) -> None:
        """Start with a roster whose handover delay has elapsed."""
        super().__init__(*arguments)
        self.roster_since = -math.inf

    def is_serving(self) -> bool:
        """Return whether the lease is valid."""
        return self.is_lease_valid


class Fleet:
    """Dispatchers of several VMs that share one table of warm entries."""

    def __init__(
        self,
        vm_count: int = 1,
        searcher_count: int = 3,
        *,
        policy: Mapping[str, Any] | None = None,
        service: Mapping[str, Any] | None = None,
        gossip_delay_s: float = 0.05,
        is_warm: bool = True,
        seed: int = 1,
    ) -> None:
        """Create dispatchers and searchers; requires a running event loop."""
        self.vm_ids = [f'vm-{number}' for number in range(vm_count)]
        self.searchers = {
            qualify_searcher(SERVICE_ID, f's{number}'): FakeSearcher(
                qualify_searcher(SERVICE_ID, f's{number}'),
            )
            for number in range(searcher_count)
        }
        self.random = random.Random(seed)
        self.revision = 0
        self.policy = {'merge_margin_ms': 0, **(policy or {})}
        self.service = {
            'slots': 4,
            'connection_limit': 100,
            'connections_per_owner': 4,
            'index_versions': [7],
            'partition_map': 3,
            **(service or {}),
        }
        self.searcher_settings = {
            f's{number}': {
                'address': '127.0.0.1',
                'port': 9000,
                'data_centre': f'dc-{number}',
            }
            for number in range(searcher_count)
        }
        self.data_centre_states: dict[str, str] = {}
        #: Number of following posts of warm entries that fail.
        self.posts_to_fail = 0
        self.gossip_delay_s = gossip_delay_s
        self.table: dict[str, WarmEntry] = {}
        if is_warm:
            self.table = {
                searcher_id: WarmEntry(1, warm=True, generation='g1')
                for searcher_id in self.searchers
            }
        self.feeds = [
            FakeFeed(
                ProcessSettings.model_validate({'vm_id': vm_id, **PROCESS}),
                'gather',
                anyio.current_time,
            )
            for vm_id in self.vm_ids
        ]
        self.metrics = [Metrics() for _ in self.vm_ids]
        self.decisions = [DecisionLog() for _ in self.vm_ids]
        self.apply()
        self.dispatchers = [
            self._create_dispatcher(number) for number in range(vm_count)
        ]

    @property
    def owners(self) -> list[str]:
        """Return the VMs that own connections to the part."""
        view = self.feeds[0].view
        service = view.services_by_id[SERVICE_ID]
        return find_part_owners(SERVICE_ID, 'p0', service, self.vm_ids)

    def find_warmer(self, searcher_id: str) -> int:
        """Return the number of the VM that warms a searcher."""
        return self.vm_ids.index(find_warmer(searcher_id, self.owners))

    def apply(self) -> None:
        """Apply the settings on every VM."""
        self.revision += 1
        part = {'shards': [0, 1], 'searchers_by_id': self.searcher_settings}
        json_by_path = {
            'fleet/roster': {
                'vms_by_id': {vm_id: ROSTER_ENTRY for vm_id in self.vm_ids},
            },
            'fleet/policy': self.policy,
            'fleet/data_centres': {'state_by_name': self.data_centre_states},
            'teams/team/services/katalog': {
                'parts_by_name': {'p0': part},
                **self.service,
            },
            'teams/team/workspaces/large': {'rate': 10, 'burst': 10},
            'teams/team/workspaces/small': {'rate': 10, 'burst': 10},
        }
        values = {
            path: SettingsValue(self.revision, json_value)
            for path, json_value in json_by_path.items()
        }
        for feed in self.feeds:
            feed.store.apply(values, self.revision)
            feed.warm_by_searcher_id = dict(self.table)
            for listener in feed.listeners:
                listener()

    async def post_warm_entries(self, entries: Mapping[str, WarmEntry]) -> None:
        """Merge and distribute entries after a delay, as control does."""
        await anyio.sleep(self.gossip_delay_s)
        if self.posts_to_fail:
            self.posts_to_fail -= 1
            raise NotSentError('control does not respond')
        self.table = merge_warm_entries(self.table, entries)
        for feed in self.feeds:
            feed.warm_by_searcher_id = dict(self.table)
            for listener in feed.listeners:
                listener()

    def _create_dispatcher(self, number: int) -> Dispatcher:
        def open_client(target: SearcherTarget) -> BaseSearcherClient:
            return FakeClient(self.searchers[target.searcher_id], number)

        return Dispatcher(
            self.feeds[number],
            self.metrics[number],
            self.decisions[number],
            create_logger('gather'),
            random_source=random.Random(self.random.random()),
            open_searcher_client=open_client,
            post_warm_entries=self.post_warm_entries,
        )


def make_call(
    deadline_s: float = 1,
    workspace_id: str = 'team/small',
    request_class: RequestClass = RequestClass.ORDINARY,
    *,
    is_submit: bool = False,
    request_id: str = 'request',
) -> PartCall:
    """Return a call to the part that expires `deadline_s` from now."""
    return PartCall(
        request_id,
        SERVICE_ID,
        'p0',
        (0, 1),
        SNAPSHOT,
        {},
        workspace_id,
        request_class,
        anyio.current_time() + deadline_s,
        is_submit,
    )
