"""Pings between VMs: liveness, new records and the age of readings."""

import dataclasses
import math
import random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from jacinthcart.fleet._members import MemberTable, find_pace
from jacinthcart.fleet._messages import (
    FleetMessage,
    MemberRecord,
    decode_fleet_message,
)
from jacinthcart.network import BaseDatagrams, Endpoint
from jacinthcart.readings import ReadingPuller

KIND_PING = 'ping'
KIND_ACK = 'ack'
#: Key of the order in which members read the platform's store.
READERS_KEY = 'readers'


@dataclasses.dataclass(frozen=True)
class GossipTerms:
    """Pace of the pings."""

    #: Seconds between two rounds.
    interval_s: float = 0.3
    #: Members pinged at random in a round, beside the sources of readings.
    probes: int = 1
    #: Seconds after the start for which records of any members are wanted.
    join_s: float = 6.0
    #: Share of later pings that want them too.
    refresh_share: float = 0.02
    #: Seconds until an acknowledgement is overdue.
    timeout_s: float = 0.35
    #: Unanswered pings in a row that make a member suspect.
    misses: int = 2
    #: VMs, the first that may read the store, asked when the proof is old.
    direct_readers: int = 2
    #: VMs of a data centre that pass readings on to the others of it.
    relays: int = 1
    #: Records in one datagram; it stays below the usual MTU.
    records: int = 10
    #: Age in seconds of the proof at which the readers are asked directly.
    direct_age_s: float = 1.2
    #: Seconds by which any member's proof must be newer to be copied then.
    fresher_s: float = 0.3
    #: Further members pinged at random then.
    stale_probes: int = 2


@dataclasses.dataclass
class _Peer:
    """Pings of one member that wait for an acknowledgement."""

    sent_at_by_seq: dict[int, float] = dataclasses.field(default_factory=dict)
    misses: int = 0


class FleetGossip:
    """Pings members, answers pings and starts pulls of newer readings."""

    def __init__(
        self,
        members: MemberTable,
        datagrams: BaseDatagrams,
        puller: ReadingPuller,
        *,
        seeds: tuple[str, ...],
        port: int,
        random_source: random.Random,
        terms: GossipTerms,
    ) -> None:
        """Keep the collaborators; `port` is the same on all VMs."""
        self._members = members
        self._datagrams = datagrams
        self._table = puller.table
        self._lease = puller.lease
        self._puller = puller
        self.seeds = seeds
        self._port = port
        self._clock = puller.lease.clock
        self._random = random_source
        self._terms = terms
        self._started_at = self._clock()
        self._seq = 0
        self._peer_by_address: dict[str, _Peer] = {}
        self._round: list[str] = []
        self._sources_of: list[str] = []
        self._sources: list[str] = []
        self._tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Ping until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                self._check_overdue()
                self._members.forget_old()
                for address in self._choose_targets():
                    await self._ping(address)
                jitter = 0.8 + 0.4 * self._random.random()
                pace = find_pace(self._members)
                await anyio.sleep(self._terms.interval_s * jitter * pace)

    async def announce(self) -> None:
        """Send this VM's record to all members at once, for a planned stop."""
        for record in self._members.list_others():
            await self._ping(record.address)

    async def handle(self, message: dict[str, Any], source: Endpoint) -> None:
        """Take a ping or acknowledgement; raise InvalidMessageError."""
        heard = decode_fleet_message(message)
        sender = heard.sender
        for record in heard.records:
            self._members.merge(record)
        self._members.merge(sender)
        if heard.kind == KIND_PING:
            reply = self._create(
                KIND_ACK,
                heard.seq,
                has_any=heard.wants_records,
            )
            await self._datagrams.send(reply.to_message(), source)
        else:
            self._take_ack(heard, sender)
        self._pull_if_behind(heard, sender)

    def _take_ack(self, heard: FleetMessage, sender: MemberRecord) -> None:
        peer = self._peer_by_address.get(sender.address)
        sent_at = peer.sent_at_by_seq.pop(heard.seq, None) if peer else None
        if peer is None or sent_at is None:
            return
        peer.misses = 0
        is_known = not self._puller.is_behind(heard.revision)
        if is_known and heard.age_s is not None:
            self._lease.note_peer_reading(sent_at, heard.age_s)

    def _pull_if_behind(
        self, heard: FleetMessage, sender: MemberRecord
    ) -> None:
        address = sender.address
        is_source = self._is_fresher(heard) or address in self._list_sources()
        if self._tasks is None or not is_source:
            return
        if self._puller.is_behind(heard.revision):
            endpoint = Endpoint(address=address, port=self._port)
            self._tasks.start_soon(self._puller.pull, address, endpoint)

    def _is_stale(self) -> bool:
        stale_s = self._terms.direct_age_s * find_pace(self._members)
        return self._lease.age_s > stale_s

    def _is_fresher(self, heard: FleetMessage) -> bool:
        # The readers may be cut off from the store while another VM reads.
        own_age_s = self._lease.age_s
        return (
            heard.age_s is not None
            and self._is_stale()
            and heard.age_s + self._terms.fresher_s < own_age_s
        )

    async def _ping(self, address: str) -> None:
        self._seq += 1
        peer = self._peer_by_address.setdefault(address, _Peer())
        peer.sent_at_by_seq[self._seq] = self._clock()
        message = self._create(KIND_PING, self._seq, has_any=False)
        message = dataclasses.replace(
            message,
            wants_records=self._wants_records(),
        )
        endpoint = Endpoint.model_construct(address=address, port=self._port)
        await self._datagrams.send(message.to_message(), endpoint)

    def _wants_records(self) -> bool:
        # Records of all members are spread at random for a while after the
        # start, and now and then later in case that news was lost.
        age_s = self._clock() - self._started_at
        return age_s < self._terms.join_s or self._wants_refresh()

    def _wants_refresh(self) -> bool:
        return self._random.random() < self._terms.refresh_share

    def _create(self, kind: str, seq: int, *, has_any: bool) -> FleetMessage:
        records = self._members.list_recent()[: self._terms.records]
        if has_any:
            others = self._members.list_others()
            count = min(len(others), self._terms.records)
            records = self._random.sample(others, count)
        age_s = self._lease.age_s
        return FleetMessage(
            kind=kind,
            seq=seq,
            sender=self._members.own,
            revision=self._table.revision,
            age_s=round(age_s, 3) if math.isfinite(age_s) else None,
            wants_records=False,
            records=tuple(records),
        )

    def _choose_targets(self) -> set[str]:
        # A member that missed a ping is asked again in each round, so that
        # its loss is certain within two of them.
        alive = {record.address for record in self._members.list_alive()}
        targets = {
            address
            for address, peer in self._peer_by_address.items()
            if peer.misses and address in alive
        }
        targets.update(self._list_sources())
        if not self._round:
            self._round = [
                record.address for record in self._members.list_others()
            ]
            self._random.shuffle(self._round)
        probes = self._terms.probes
        if self._is_stale():
            probes += self._terms.stale_probes
        for _ in range(min(probes, len(self._round))):
            targets.add(self._round.pop())
        if len(self._members.list_others()) < len(self.seeds):
            targets.update(self.seeds)
        elif self.seeds and self._wants_refresh():
            targets.add(self._random.choice(self.seeds))
        targets.discard(self._members.own.address)
        return targets

    def _list_sources(self) -> list[str]:
        terms = self._terms
        ranked = self._members.rank(READERS_KEY)
        if self._sources_of is not ranked:
            self._sources_of = ranked
            self._sources = _find_sources(
                self._members,
                ranked,
                terms.relays,
            )
        if not self._is_stale():
            return self._sources
        own_address = self._members.own.address
        readers = ranked[: terms.direct_readers]
        return [
            *self._sources,
            *(address for address in readers if address != own_address),
        ]

    def _check_overdue(self) -> None:
        overdue_at = self._clock() - self._terms.timeout_s
        for address, peer in self._peer_by_address.items():
            overdue = [
                seq
                for seq, sent_at in peer.sent_at_by_seq.items()
                if sent_at < overdue_at
            ]
            for seq in overdue:
                peer.sent_at_by_seq.pop(seq)
            peer.misses += len(overdue)
            if peer.misses >= self._terms.misses:
                self._members.suspect(address)


def _find_sources(
    members: MemberTable,
    ranked: list[str],
    relays: int,
) -> list[str]:
    own = members.own
    near = {
        record.address
        for record in members.list_alive()
        if record.data_centre == own.data_centre
    }
    relaying = [address for address in ranked if address in near][:relays]
    sources = ranked[:1] if own.address in relaying else relaying
    return [address for address in sources if address != own.address]
