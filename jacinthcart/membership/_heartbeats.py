"""Sends heartbeats to ring successors and acknowledges those of others."""

import collections
import random
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from jacinthcart.membership._ages import (
    compute_age_step_ms,
    compute_roster_digest,
    pack_ages,
    unpack_ages,
)
from jacinthcart.membership._freshness import SettingsFreshness
from jacinthcart.membership._messages import (
    HeartbeatAck,
    Member,
    MemberState,
    decode_heartbeat,
    decode_heartbeat_ack,
)
from jacinthcart.membership._peer import PeerHeartbeats
from jacinthcart.membership._ring import select_peers
from jacinthcart.network import MAX_DATAGRAM_BYTES, BaseDatagrams
from jacinthcart.program import Clock
from jacinthcart.settings import Endpoint, SettingsView
from jacinthcart.wire import encode_json

_MS_PER_S = 1000
_SEQUENCE_BITS = 48
_MAX_MEMBERS = 256

#: Returns the state that this VM reports about itself.
StateReader = Callable[[], MemberState]


class HeartbeatPeers:
    """Sends heartbeats to peers and records their acknowledgements."""

    def __init__(
        self,
        datagrams: BaseDatagrams,
        freshness: SettingsFreshness,
        read_state: StateReader,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        """Start without peers; nothing is sent before `run`."""
        self.on_member: Callable[[Member], None] = _ignore_member
        self.members_by_vm: collections.OrderedDict[str, Member] = (
            collections.OrderedDict()
        )
        self.peers_by_vm: dict[str, PeerHeartbeats] = {}
        self._datagrams = datagrams
        self._freshness = freshness
        self._read_state = read_state
        self._clock = clock
        self._random = random_source
        self._sorted_ids: tuple[str, ...] = ()
        self._roster_digest = ''
        self._age_step_ms = 1.0
        self._tasks: TaskGroup | None = None

    @property
    def are_initial_probes_done(self) -> bool:
        """Return whether each peer answered or missed all initial attempts."""
        return all(
            peer.is_initial_probe_done for peer in self.peers_by_vm.values()
        )

    async def run(self) -> None:
        """Send until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for peer in self.peers_by_vm.values():
                tasks.start_soon(peer.run)
            await anyio.sleep_forever()

    def apply_settings(self, view: SettingsView) -> None:
        """Apply the roster and policy, and announce the new revision."""
        policy = view.policy
        isolation_s = policy.isolation_ms / _MS_PER_S
        entries = view.roster.vms_by_id if view.roster else {}
        self._freshness.configure(isolation_s, entries)
        self._sorted_ids = tuple(sorted(entries))
        self._roster_digest = compute_roster_digest(entries)
        self._age_step_ms = compute_age_step_ms(isolation_s)
        own_id = self._read_state().vm
        endpoints = {
            vm_id: Endpoint(
                address=entries[vm_id].address,
                port=entries[vm_id].control_port,
            )
            for vm_id in select_peers(own_id, entries, policy.heartbeat_peers)
        }
        self._replace_peers(endpoints)
        self._schedule_peers(policy.heartbeat_interval_ms / _MS_PER_S)
        self.push()

    def push(self) -> None:
        """Announce a state change: send each peer a heartbeat soon."""
        for peer in self.peers_by_vm.values():
            peer.push()

    async def handle_heartbeat(
        self,
        message: dict[str, Any],
        source: Endpoint,
    ) -> None:
        """Acknowledge a heartbeat; raise InvalidMessageError if malformed."""
        heartbeat = decode_heartbeat(message)
        ack = self._create_ack(heartbeat.seq)
        await self._datagrams.send(ack, source)
        self._record_member(heartbeat)

    def handle_ack(self, message: dict[str, Any]) -> None:
        """Handle an acknowledgement; raise InvalidMessageError if malformed.

        The time of the proof is that at which the heartbeat was sent: a
        datagram that was queued while this process was paused proves nothing
        newer.
        """
        ack = decode_heartbeat_ack(message)
        peer = self.peers_by_vm.get(ack.vm)
        sent_at = peer.acknowledge(ack.seq) if peer else None
        if sent_at is None:
            return
        age_ms = ack.service_age_ms
        self._freshness.record_peer_ack(
            sent_at,
            ack.revision,
            None if age_ms is None else age_ms / _MS_PER_S,
            {**self._read_ages(ack), ack.vm: 0},
        )
        self._record_member(ack)

    def _create_ack(self, seq: int) -> dict[str, Any]:
        service_age_s = self._freshness.service_age_s
        ack = HeartbeatAck(
            **self._read_state().model_dump(),
            seq=seq,
            service_age_ms=(
                None if service_age_s is None else service_age_s * _MS_PER_S
            ),
            roster=self._roster_digest,
            age_step_ms=self._age_step_ms,
            ages=pack_ages(
                self._sorted_ids,
                self._freshness.list_ages(),
                self._age_step_ms,
            ),
        )
        message = {'kind': 'heartbeat_ack', **ack.model_dump()}
        if len(encode_json(message)) > MAX_DATAGRAM_BYTES:
            # Without ages, the acknowledgement confirms only this VM.
            message['ages'] = ''
        return message

    def _read_ages(self, ack: HeartbeatAck) -> dict[str, float]:
        if not ack.ages or ack.roster != self._roster_digest:
            return {}
        return unpack_ages(self._sorted_ids, ack.ages, ack.age_step_ms)

    def _record_member(self, state: MemberState) -> None:
        member = Member(state, self._clock())
        self.members_by_vm[state.vm] = member
        self.members_by_vm.move_to_end(state.vm)
        if len(self.members_by_vm) > _MAX_MEMBERS:
            self.members_by_vm.popitem(last=False)
        self.on_member(member)

    def _replace_peers(self, endpoints: dict[str, Endpoint]) -> None:
        for vm_id, peer in list(self.peers_by_vm.items()):
            if endpoints.get(vm_id) != peer.endpoint:
                self.peers_by_vm.pop(vm_id).stop()
        for vm_id, endpoint in endpoints.items():
            if vm_id not in self.peers_by_vm:
                self._add_peer(vm_id, endpoint)

    def _schedule_peers(self, interval_s: float) -> None:
        count = len(self.peers_by_vm)
        offset = self._random.random()
        for number, peer in enumerate(self.peers_by_vm.values()):
            peer.interval_s = interval_s
            peer.phase = (number + offset) / count

    def _add_peer(self, vm_id: str, endpoint: Endpoint) -> None:
        peer = PeerHeartbeats(
            endpoint,
            self._send_heartbeat,
            self._clock,
            # With a random first sequence number, an acknowledgement for a
            # previous process of this VM does not match.
            self._random.getrandbits(_SEQUENCE_BITS),
        )
        self.peers_by_vm[vm_id] = peer
        if self._tasks is not None:
            self._tasks.start_soon(peer.run)

    async def _send_heartbeat(self, seq: int, peer: Endpoint) -> None:
        state = self._read_state()
        message = {'kind': 'heartbeat', **state.model_dump(), 'seq': seq}
        await self._datagrams.send(message, peer)


def _ignore_member(member: Member) -> None:
    """Ignore a member; default of `on_member`."""
