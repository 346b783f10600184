"""The core of the control process, independent of sockets."""

import dataclasses
import random
from typing import Any

import anyio

from jacinthcart.control._datagram_handler import DatagramHandler
from jacinthcart.control._local_processes import LocalProcesses
from jacinthcart.control._permits import BasePermitService
from jacinthcart.control._puller import PeerPuller
from jacinthcart.control._roster_age import RosterAgeTracker
from jacinthcart.control._settings_applier import SettingsApplier
from jacinthcart.control._start import StartGate
from jacinthcart.control._state import ControlState
from jacinthcart.control._warm import WarmTable
from jacinthcart.control._warm_replicator import WarmReplicator
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
#: Maximum time to wait for the first responses of service and seed peers.
_FIRST_READ_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True)
class NodeDependencies:
    """External dependencies of a node, which tests replace by fakes."""

    #: Configuration service and VM list.
    platform: BasePlatform
    #: HTTP client for other control processes.
    peer_client: BasePeerClient
    #: Datagram transport to other control processes.
    datagrams: BaseDatagrams
    #: Fleet-wide rate limits.
    permits: BasePermitService
    #: Clock in seconds that also advances while the VM is suspended.
    clock: Clock
    #: Random source for jitter and incarnation ids.
    random: random.Random
    #: Counters and histograms.
    metrics: Metrics
    logger: Logger


class ControlNode:
    """Settings, membership, roster age and serving leases of one VM."""

    def __init__(
        self,
        process: ProcessSettings,
        dependencies: NodeDependencies,
    ) -> None:
        """Create and connect the components; `run` starts them."""
        self.process = process
        self.dependencies = dependencies
        deps = dependencies
        incarnation = f'{deps.random.getrandbits(_INCARNATION_BITS):012x}'
        self.state = ControlState(incarnation, WarmTable())
        self.local_processes = LocalProcesses(deps.clock)
        self.freshness = SettingsFreshness(
            process.vm_id,
            self.state.view.policy.isolation_ms / _MS_PER_S,
            deps.clock,
        )
        self.heartbeats = HeartbeatPeers(
            deps.datagrams,
            self.freshness,
            self.describe_member,
            deps.clock,
            deps.random,
        )
        self.gate = StartGate(self.state, self.freshness, self.heartbeats)
        self.warm_replicator = WarmReplicator(
            process.vm_id, self.state, deps.datagrams
        )
        self._settings_applier = SettingsApplier(
            self.state,
            self.freshness,
            deps.metrics,
            deps.logger,
        )
        self._settings_applier.listeners.extend(
            (
                self.heartbeats.apply_settings,
                deps.permits.apply_settings,
                self.warm_replicator.apply_settings,
                self._update_roster_age,
            ),
        )
        self._puller = self._create_puller()
        self._watch = self._create_watch()
        self.roster_age_tracker = RosterAgeTracker(
            process.vm_id,
            self.state,
            self._puller,
            deps.clock,
            deps.random,
        )
        self.roster_age_tracker.on_activation = (
            deps.permits.record_roster_activation
        )
        self.datagram_handler = DatagramHandler(
            self.heartbeats,
            deps.permits,
            self.warm_replicator,
        )

    @property
    def is_serving(self) -> bool:
        """Return whether serving leases are currently granted."""
        return self.gate.is_open and self.freshness.is_current

    @property
    def lease_ms(self) -> int:
        """Return the length in ms of a lease granted now, 0 for none."""
        if not self.is_serving:
            return 0
        return self.state.view.policy.serving_lease_ms

    @property
    def is_ready(self) -> bool:
        """Return whether callers should be directed to this VM."""
        lease_ms = self.state.view.policy.serving_lease_ms
        return self.is_serving and self.local_processes.are_ready(
            lease_ms / _MS_PER_S,
        )

    def describe_member(self) -> MemberState:
        """Return the state of this VM that heartbeats report."""
        return MemberState(
            vm=self.process.vm_id,
            incarnation=self.state.incarnation,
            revision=self.state.store.revision,
            leaving=self.state.is_leaving,
            ready=self.is_ready,
            warm_digest=self.state.warm.digest,
        )

    def export_settings(self, after: int) -> dict[str, Any]:
        """Return the settings that a peer at revision `after` is missing."""
        store = self.state.store
        return {
            'revision': store.revision,
            'values': encode_values(store.export_after(after)),
            'valid': encode_values(store.export_valid()),
            **encode_roster_age(self.roster_age_tracker.describe()),
        }

    def announce_leaving(self) -> None:
        """Announce a graceful shutdown to peers and local processes at once."""
        self.state.announce_leaving()
        self.heartbeats.push()

    async def run(self) -> None:
        """Run all background loops until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.heartbeats.run)
            tasks.start_soon(self._puller.run)
            tasks.start_soon(self.dependencies.permits.run)
            tasks.start_soon(self._watch.run_vm_list)
            await self._read_initial_settings()
            tasks.start_soon(self._watch.run)
            tasks.start_soon(self.roster_age_tracker.run)

    def _create_puller(self) -> PeerPuller:
        puller = PeerPuller(
            self.dependencies.peer_client,
            self.state,
            self.dependencies.metrics,
            self.dependencies.logger,
        )
        puller.on_settings = self._settings_applier.apply_peer_settings
        puller.on_warm = self.warm_replicator.merge
        self.heartbeats.on_member = self._handle_member
        return puller

    def _create_watch(self) -> WatchLoop:
        watch = WatchLoop(
            self.dependencies.platform,
            self.state.store,
            self.dependencies.clock,
            self.dependencies.random,
            self.dependencies.metrics,
            self.dependencies.logger,
        )
        watch.on_changes = self._settings_applier.apply_changes
        watch.on_contact = self.freshness.record_service_contact
        watch.on_vms = self.state.live.update_platform_list
        return watch

    async def _read_initial_settings(self) -> None:
        """Query the service and all seed peers; the highest revision wins."""
        with anyio.move_on_after(_FIRST_READ_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch.poll, 0)
                for seed in self.process.seed_peers:
                    tasks.start_soon(self._read_seed, seed)
        self.gate.complete_first_read()

    async def _read_seed(self, seed: Endpoint) -> None:
        settings = await self._puller.pull_settings(seed)
        if settings is not None:
            self.roster_age_tracker.update_peer('', settings.roster_age)
            await self._puller.pull_warm(seed)

    def _update_roster_age(self, view: SettingsView) -> None:
        self.roster_age_tracker.apply_settings()

    def _handle_member(self, member: Member) -> None:
        self.state.live.update_member(member)
        self._puller.add_candidate(member)
