"""Pings between VMs: failure detection and dissemination of changes."""

import dataclasses
import math
import random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from jacinthcart.fleet._anti_entropy import AntiEntropy, AntiEntropyParameters
from jacinthcart.fleet._members import MemberTable, compute_interval_factor
from jacinthcart.fleet._messages import (
    FleetMessage,
    MemberRecord,
    decode_fleet_message,
)
from jacinthcart.network import BaseDatagrams, Endpoint
from jacinthcart.readings import TablePuller

KIND_PING = 'ping'
KIND_ACK = 'ack'
#: Key by which members are ranked for reading the platform's store.
READERS_KEY = 'readers'


@dataclasses.dataclass(frozen=True)
class GossipParameters:
    """Intervals, timeouts and fan-out of pings."""

    #: Seconds between two rounds of pings.
    interval_s: float = 0.3
    #: Random members pinged in a round, besides the VMs from which this VM
    #: pulls store data.
    probes: int = 1
    #: Seconds until an acknowledgement is overdue.
    timeout_s: float = 0.35
    #: Consecutive unanswered pings after which a member is suspected.
    misses: int = 2
    #: Store readers, in rank order, pinged directly when the freshness
    #: proof is old.
    direct_readers: int = 2
    #: Number of VMs in a data centre that relay store data to the others
    #: there.
    relays: int = 1
    #: Age of the proof in seconds above which the readers are pinged
    #: directly.
    direct_age_s: float = 1.2
    #: Seconds by which any other member's proof must be newer for this VM
    #: to pull from that member while its own proof is old.
    min_age_gain_s: float = 0.3
    #: Additional random members pinged while the proof is old.
    stale_probes: int = 2
    #: Parameters of the anti-entropy exchange of member lists.
    anti_entropy: AntiEntropyParameters = AntiEntropyParameters()


@dataclasses.dataclass
class _PingState:
    """Pings sent to one member."""

    #: Send times in seconds of unacknowledged pings, by sequence number.
    sent_at_by_seq: dict[int, float] = dataclasses.field(default_factory=dict)
    #: Consecutive pings that were not acknowledged in time.
    misses: int = 0


class FleetGossip:
    """Pings members, answers pings and pulls newer store data."""

    def __init__(
        self,
        members: MemberTable,
        datagrams: BaseDatagrams,
        puller: TablePuller,
        *,
        seeds: tuple[str, ...],
        port: int,
        random_source: random.Random,
        params: GossipParameters,
    ) -> None:
        """Initialise; `port` is the peer port, the same on all VMs."""
        self._members = members
        self._datagrams = datagrams
        self._table = puller.table
        self._lease = puller.lease
        self._puller = puller
        self._port = port
        self._clock = puller.lease.clock
        self._random = random_source
        self._params = params
        self.anti_entropy = AntiEntropy(
            members, seeds, self._clock, random_source, params.anti_entropy
        )
        self._seq = 0
        self._pings_by_address: dict[str, _PingState] = {}
        self._unpinged_addresses: list[str] = []
        self._sources_ranking: list[str] = []
        self._sources: list[str] = []
        self._tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Run rounds of pings until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                self._check_overdue()
                self._members.remove_expired()
                for address in self._choose_targets():
                    await self._ping(address)
                jitter = 0.8 + 0.4 * self._random.random()
                interval_factor = 1.0
                if not self.anti_entropy.is_active:
                    interval_factor = compute_interval_factor(self._members)
                await anyio.sleep(
                    self._params.interval_s * jitter * interval_factor
                )

    async def announce(self) -> None:
        """Send this VM's record to all members immediately.

        Used for a graceful shutdown.
        """
        for record in self._members.list_others():
            await self._ping(record.address)

    async def handle(self, message: dict[str, Any], source: Endpoint) -> None:
        """Handle a ping or acknowledgement; raise InvalidMessageError."""
        received = decode_fleet_message(message)
        sender = received.sender
        # Records that a new process learns are already known to others or
        # will reach them through the anti-entropy exchange.
        disseminate = not self.anti_entropy.is_active
        self._members.merge(sender, disseminate=disseminate)
        disseminate = disseminate and received.described is None
        has_learned = any(
            [
                self._members.merge(record, disseminate=disseminate)
                for record in received.records
            ]
        )
        if received.kind == KIND_PING:
            reply = self._create_message(
                KIND_ACK, received.seq, received.described
            )
            await self._datagrams.send(reply.to_message(), source)
        else:
            await self._handle_ack(received, has_learned=has_learned)
        self._pull_if_behind(received, sender)

    async def _handle_ack(
        self, received: FleetMessage, *, has_learned: bool
    ) -> None:
        address = received.sender.address
        pings = self._pings_by_address.get(address)
        sent_at = (
            pings.sent_at_by_seq.pop(received.seq, None) if pings else None
        )
        if pings is None or sent_at is None:
            return
        pings.misses = 0
        has_all_items = not self._puller.is_behind(received.revision)
        if has_all_items and received.age_s is not None:
            self._lease.record_peer_proof(sent_at, received.age_s)
        if self.anti_entropy.handle_answer(received, has_learned=has_learned):
            await self._ping(address)

    def _pull_if_behind(
        self, received: FleetMessage, sender: MemberRecord
    ) -> None:
        address = sender.address
        is_source = (
            self._has_newer_proof(received) or address in self._list_sources()
        )
        if self._tasks is None or not is_source:
            return
        if self._puller.is_behind(received.revision):
            endpoint = Endpoint(address=address, port=self._port)
            self._tasks.start_soon(self._puller.pull, address, endpoint)

    def _is_stale(self) -> bool:
        stale_s = self._params.direct_age_s * compute_interval_factor(
            self._members
        )
        return self._lease.age_s > stale_s

    def _has_newer_proof(self, received: FleetMessage) -> bool:
        # The first readers may have lost access to the store while another VM
        # reads it.
        own_age_s = self._lease.age_s
        return (
            received.age_s is not None
            and self._is_stale()
            and received.age_s + self._params.min_age_gain_s < own_age_s
        )

    async def _ping(self, address: str) -> None:
        self._seq += 1
        pings = self._pings_by_address.setdefault(address, _PingState())
        pings.sent_at_by_seq[self._seq] = self._clock()
        described = self.anti_entropy.create_request_for(address)
        message = self._create_message(KIND_PING, self._seq, described)
        endpoint = Endpoint.model_construct(address=address, port=self._port)
        await self._datagrams.send(message.to_message(), endpoint)

    def _create_message(
        self, kind: str, seq: int, described: str | None
    ) -> FleetMessage:
        records: list[MemberRecord] = []
        if described is None:
            records = self._members.list_recent()[
                : self.anti_entropy.max_records
            ]
        elif kind == KIND_ACK:
            records, described = self.anti_entropy.answer(described)
        age_s = self._lease.age_s
        return FleetMessage(
            kind=kind,
            seq=seq,
            sender=self._members.own,
            revision=self._table.revision,
            age_s=round(age_s, 3) if math.isfinite(age_s) else None,
            described=described,
            records=tuple(records),
        )

    def _choose_targets(self) -> set[str]:
        # A member that missed a ping is pinged again in every round, so that
        # a failure is confirmed within two rounds.
        alive = {record.address for record in self._members.list_alive()}
        targets = {
            address
            for address, pings in self._pings_by_address.items()
            if pings.misses and address in alive
        }
        targets.update(self._list_sources())
        if not self._unpinged_addresses:
            self._unpinged_addresses = [
                record.address for record in self._members.list_others()
            ]
            self._random.shuffle(self._unpinged_addresses)
        probes = self._params.probes
        if self._is_stale():
            probes += self._params.stale_probes
        for _ in range(min(probes, len(self._unpinged_addresses))):
            targets.add(self._unpinged_addresses.pop())
        if len(self._members.list_others()) < len(self.anti_entropy.seeds):
            targets.update(self.anti_entropy.seeds)
        own_address = self._members.own.address
        sync_peer = self.anti_entropy.choose_peer()
        if sync_peer is not None:
            targets.add(sync_peer)
        targets.discard(own_address)
        return targets

    def _list_sources(self) -> list[str]:
        params = self._params
        ranked = self._members.rank(READERS_KEY)
        if self._sources_ranking is not ranked:
            self._sources_ranking = ranked
            self._sources = _find_sources(
                self._members,
                ranked,
                params.relays,
            )
        if not self._is_stale():
            return self._sources
        own_address = self._members.own.address
        readers = ranked[: params.direct_readers]
        return [
            *self._sources,
            *(address for address in readers if address != own_address),
        ]

    def _check_overdue(self) -> None:
        overdue_at = self._clock() - self._params.timeout_s
        for address, pings in self._pings_by_address.items():
            overdue = {
                seq: sent_at
                for seq, sent_at in pings.sent_at_by_seq.items()
                if sent_at < overdue_at
            }
            for seq in overdue:
                pings.sent_at_by_seq.pop(seq)
            # A ping from before the last change of the record may have been
            # sent before the current process of the member started.
            since = self._members.log.get_change_time(address)
            pings.misses += sum(sent_at > since for sent_at in overdue.values())
            if pings.misses >= self._params.misses:
                self._members.suspect(address)


def _find_sources(
    members: MemberTable,
    ranked: list[str],
    relays: int,
) -> list[str]:
    # Relays pull from the first reader, other VMs from the relays of their
    # data centre.
    own = members.own
    same_data_centre = {
        record.address
        for record in members.list_alive()
        if record.data_centre == own.data_centre
    }
    relaying = [address for address in ranked if address in same_data_centre][
        :relays
    ]
    sources = ranked[:1] if own.address in relaying else relaying
    return [address for address in sources if address != own.address]
