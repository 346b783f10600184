"""The control process without its sockets: one object per VM."""

import dataclasses
import random
from typing import Any

import anyio

from jacinthcart.control._listener import DatagramListener
from jacinthcart.control._neighbours import Neighbours
from jacinthcart.control._permits import BasePermitService
from jacinthcart.control._puller import PeerPuller
from jacinthcart.control._rights_age import RightsAge
from jacinthcart.control._sink import SettingsSink
from jacinthcart.control._start import StartGate
from jacinthcart.control._state import ControlState
from jacinthcart.control._warm import WarmTable
from jacinthcart.control._warm_spread import WarmSpread
from jacinthcart.membership import (
    BaseDatagrams,
    HeartbeatPeers,
    Member,
    MemberState,
    SettingsFreshness,
)
from jacinthcart.program import Clock
from jacinthcart.settings import (
    Endpoint,
    ProcessSettings,
    SettingsView,
    encode_values,
)
from jacinthcart.sync import (
    BasePeerClient,
    BasePlatform,
    WatchLoop,
    encode_roster_age,
)
from jacinthcart.telemetry import Logger, Metrics

_MS_PER_S = 1000
_INCARNATION_BITS = 48
#: Longest time that the first answers of service and seeds are waited for.
_FIRST_READ_S = 2.0


@dataclasses.dataclass(frozen=True)
class NodeDependencies:
    """What a node needs from outside; tests pass stand-ins."""

    #: Configuration service and VM list.
    platform: BasePlatform
    #: HTTP to other control processes.
    peer_client: BasePeerClient
    #: Datagrams to other control processes.
    datagrams: BaseDatagrams
    #: Fleet-wide rate limits.
    permits: BasePermitService
    #: Seconds that advance while the VM is suspended.
    clock: Clock
    #: Source of jitter and identities.
    random: random.Random
    #: Counters and histograms.
    metrics: Metrics
    #: Log of this program.
    logger: Logger


class ControlNode:
    """Settings, membership, rights and leases of one VM."""

    def __init__(
        self,
        process: ProcessSettings,
        surroundings: NodeDependencies,
    ) -> None:
        """Connect the parts; nothing runs before `run`."""
        self.process = process
        self.outside = surroundings
        outside = surroundings
        incarnation = f'{outside.random.getrandbits(_INCARNATION_BITS):012x}'
        self.state = ControlState(incarnation, WarmTable())
        self.neighbours = Neighbours(outside.clock)
        self.currency = SettingsFreshness(
            process.vm_id,
            self.state.view.policy.isolation_ms / _MS_PER_S,
            outside.clock,
        )
        self.heartbeats = HeartbeatPeers(
            outside.datagrams,
            self.currency,
            self.describe_member,
            outside.clock,
            outside.random,
        )
        self.gate = StartGate(self.state, self.currency, self.heartbeats)
        self.warm = WarmSpread(process.vm_id, self.state, outside.datagrams)
        self._sink = SettingsSink(
            self.state,
            self.currency,
            outside.metrics,
            outside.logger,
        )
        self._sink.listeners.extend(
            (
                self.heartbeats.apply_settings,
                outside.permits.apply_settings,
                self.warm.apply_settings,
                self._apply_rights,
            ),
        )
        self._puller = self._create_puller()
        self._watch = self._create_watch()
        self.rights_age = RightsAge(
            process.vm_id,
            self.state,
            self._puller,
            outside.clock,
            outside.random,
        )
        self.rights_age.on_since = outside.permits.record_roster_activation
        self.listener = DatagramListener(
            self.heartbeats,
            outside.permits,
            self.warm,
        )

    @property
    def is_serving(self) -> bool:
        """Return whether serving leases are granted now."""
        return self.gate.is_open and self.currency.is_current

    @property
    def lease_ms(self) -> int:
        """Return the lease in milliseconds to grant now, 0 for none."""
        if not self.is_serving:
            return 0
        return self.state.view.policy.serving_lease_ms

    @property
    def is_ready(self) -> bool:
        """Return whether callers should be sent to this VM."""
        lease_ms = self.state.view.policy.serving_lease_ms
        return self.is_serving and self.neighbours.are_ready(
            lease_ms / _MS_PER_S,
        )

    def describe_member(self) -> MemberState:
        """Return what heartbeats tell about this VM."""
        return MemberState(
            vm=self.process.vm_id,
            incarnation=self.state.incarnation,
            revision=self.state.store.revision,
            leaving=self.state.is_leaving,
            ready=self.is_ready,
            warm_digest=self.state.warm.digest,
        )

    def export_settings(self, after: int) -> dict[str, Any]:
        """Return what a peer lacks that knows a revision."""
        store = self.state.store
        return {
            'revision': store.revision,
            'values': encode_values(store.export_after(after)),
            'valid': encode_values(store.export_valid()),
            **encode_roster_age(self.rights_age.describe()),
        }

    def announce_leaving(self) -> None:
        """Tell peers and neighbours of a planned stop at once."""
        self.state.announce_leaving()
        self.heartbeats.push()

    async def run(self) -> None:
        """Run every loop until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.heartbeats.run)
            tasks.start_soon(self._puller.run)
            tasks.start_soon(self.outside.permits.run)
            tasks.start_soon(self._watch.run_vm_list)
            await self._read_first()
            tasks.start_soon(self._watch.run)
            tasks.start_soon(self.rights_age.run)

    def _create_puller(self) -> PeerPuller:
        puller = PeerPuller(
            self.outside.peer_client,
            self.state,
            self.outside.metrics,
            self.outside.logger,
        )
        puller.on_settings = self._sink.take_peer_settings
        puller.on_warm = self.warm.take
        self.heartbeats.on_member = self._take_member
        return puller

    def _create_watch(self) -> WatchLoop:
        watch = WatchLoop(
            self.outside.platform,
            self.state.store,
            self.outside.clock,
            self.outside.random,
            self.outside.metrics,
            self.outside.logger,
        )
        watch.on_changes = self._sink.take_changes
        watch.on_contact = self.currency.record_service_contact
        watch.on_vms = self.state.live.take_listed
        return watch

    async def _read_first(self) -> None:
        """Ask the service and all seeds; the highest revision wins."""
        with anyio.move_on_after(_FIRST_READ_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch.poll, 0)
                for seed in self.process.seed_peers:
                    tasks.start_soon(self._read_seed, seed)
        self.gate.end_first_read()

    async def _read_seed(self, seed: Endpoint) -> None:
        settings = await self._puller.pull_settings(seed)
        if settings is not None:
            self.rights_age.take_peer('', settings.roster_age)
            await self._puller.pull_warm(seed)

    def _apply_rights(self, view: SettingsView) -> None:
        self.rights_age.apply_settings()

    def _take_member(self, member: Member) -> None:
        self.state.live.take_member(member)
        self._puller.offer(member)
