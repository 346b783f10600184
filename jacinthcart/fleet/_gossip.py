"""Pings between VMs: failure detection and dissemination of changes."""

import dataclasses
import math
import random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from jacinthcart.fleet._anti_entropy import AntiEntropy, AntiEntropyParameters
from jacinthcart.fleet._failure_detector import (
    DetectionParameters,
    FailureDetector,
)
from jacinthcart.fleet._indirect_probes import (
    KIND_PROBE,
    KIND_PROBE_RESULT,
    IndirectProbes,
)
from jacinthcart.fleet._members import MemberTable, compute_interval_factor
from jacinthcart.fleet._messages import (
    FleetMessage,
    MemberRecord,
    MemberState,
    decode_fleet_message,
)
from jacinthcart.fleet._sources import SourceParameters, StoreSources
from jacinthcart.network import BaseDatagrams, Endpoint
from jacinthcart.readings import TablePuller

KIND_PING = 'ping'
KIND_ACK = 'ack'
_FIRST_NUMBER_BITS = 32


@dataclasses.dataclass(frozen=True)
class GossipParameters:
    """Intervals, timeouts and fan-out of pings."""

    #: Seconds between two rounds of pings.
    interval_s: float = 0.3
    #: Random members pinged in a round, besides the VMs from which this VM
    #: pulls store data.
    probes: int = 1
    #: Additional random members pinged while the proof is old.
    stale_probes: int = 2
    #: Which VMs this VM pulls store data from.
    sources: SourceParameters = SourceParameters()
    #: Parameters of the anti-entropy exchange of member lists.
    anti_entropy: AntiEntropyParameters = AntiEntropyParameters()
    #: When members that don't answer are suspected.
    detection: DetectionParameters = DetectionParameters()
    #: Seconds by which a round may start late before this VM counts as
    #: paused.
    max_delay_s: float = 0.15


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
        # Random, so that an acknowledgement of a ping of a former process of
        # this VM answers none of this one.
        self._seq = random.getrandbits(_FIRST_NUMBER_BITS)
        self._detector = FailureDetector(
            self._clock, members.log.get_change_time, params.detection
        )
        self._probes = IndirectProbes(
            members,
            self._detector,
            datagrams,
            port=port,
            random_source=random_source,
            params=params.detection,
            send_ping=self._send_ping,
        )
        self._unpinged_addresses: list[str] = []
        self._sources = StoreSources(members, puller.lease, params.sources)
        self._tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Run rounds of pings until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                await self._check_overdue()
                self._members.remove_expired()
                for address in sorted(self._choose_targets()):
                    await self._ping(address)
                await self._wait_for_round()

    async def announce(self) -> None:
        """Send this VM's record to all members immediately.

        Used for a graceful shutdown.
        """
        for record in self._members.list_others():
            await self._ping(record.address)

    async def handle(self, message: dict[str, Any], source: Endpoint) -> None:
        """Handle a message of a peer; raise InvalidMessageError."""
        if message.get('kind') in {KIND_PROBE, KIND_PROBE_RESULT}:
            if self._tasks is not None:
                await self._probes.handle(message, source, self._tasks)
                self._suspect()
            return
        received = decode_fleet_message(message)
        sender = received.sender
        # Records that a new process learns are already known to others or
        # will reach them through the anti-entropy exchange.
        disseminate = not self.anti_entropy.is_active
        self._members.merge(sender, disseminate=disseminate)
        disseminate = disseminate and received.described is None
        incarnation = self._members.own.incarnation
        has_learned = any(
            [
                self._members.merge(record, disseminate=disseminate)
                for record in self._list_credible(received)
            ]
        )
        if self._members.own.incarnation > incarnation:
            self._detector.record_impairment()
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
        self._probes.record_ack(received.seq)
        sent_at = self._detector.record_ack(address, received.seq)
        if sent_at is None:
            return
        is_covered = self._puller.is_covered(received.newest, received.digest)
        if is_covered and received.age_s is not None:
            self._lease.record_peer_proof(sent_at, received.age_s)
        if self.anti_entropy.handle_answer(received, has_learned=has_learned):
            await self._ping(address)

    def _pull_if_behind(
        self, received: FleetMessage, sender: MemberRecord
    ) -> None:
        address = sender.address
        puller = self._puller
        is_repair = puller.must_repair(received.newest, received.digest)
        is_behind = puller.is_behind(received.newest, received.complete_to)
        must_pull = is_repair or (
            is_behind and self._sources.is_source(received)
        )
        if self._tasks is not None and must_pull:
            endpoint = Endpoint(address=address, port=self._port)
            self._tasks.start_soon(puller.pull, address, endpoint, is_repair)

    def _list_credible(self, received: FleetMessage) -> list[MemberRecord]:
        # A member that others can't reach may be unable to hear them, so its
        # suspicions prove nothing.
        sender = self._members.log.get_record(received.sender.address)
        if sender is None or sender.state is not MemberState.SUSPECT:
            return list(received.records)
        return [
            record
            for record in received.records
            if record.state is not MemberState.SUSPECT
        ]

    async def _wait_for_round(self) -> None:
        jitter = 0.8 + 0.4 * self._random.random()
        interval_factor = 1.0
        if not self.anti_entropy.is_active:
            interval_factor = compute_interval_factor(self._members)
        interval_s = self._params.interval_s * jitter * interval_factor
        due_at = self._clock() + interval_s
        await anyio.sleep(interval_s)
        if self._clock() > due_at + self._params.max_delay_s:
            self._detector.record_pause()

    async def _ping(self, address: str) -> None:
        self._detector.record_ping(address, self._seq + 1)
        await self._send_ping(address)

    async def _send_ping(self, address: str) -> int:
        self._seq += 1
        seq = self._seq
        described = self.anti_entropy.create_request_for(address)
        message = self._create_message(KIND_PING, seq, described)
        endpoint = Endpoint.model_construct(address=address, port=self._port)
        await self._datagrams.send(message.to_message(), endpoint)
        return seq

    def _create_message(
        self, kind: str, seq: int, described: str | None
    ) -> FleetMessage:
        records: list[MemberRecord] = []
        if described is None:
            records = self._choose_recent()
        elif kind == KIND_ACK:
            records, described = self.anti_entropy.answer(described)
        age_s = self._lease.age_s
        return FleetMessage(
            kind=kind,
            seq=seq,
            sender=self._members.own,
            newest=self._table.newest,
            complete_to=self._table.complete_to,
            age_s=round(age_s, 3) if math.isfinite(age_s) else None,
            digest=self._table.digest,
            described=described,
            records=tuple(records),
        )

    def _choose_targets(self) -> set[str]:
        # A member that missed a ping is pinged again in every round, so that
        # a failure is confirmed within two rounds.
        alive = {record.address for record in self._members.list_alive()}
        targets = alive.intersection(self._detector.list_missing())
        targets.update(self._sources.list_sources())
        if not self._unpinged_addresses:
            self._unpinged_addresses = [
                record.address for record in self._members.list_others()
            ]
            self._random.shuffle(self._unpinged_addresses)
        probes = self._params.probes
        if self._sources.is_stale():
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

    def _choose_recent(self) -> list[MemberRecord]:
        # At random, because many members may change at once: if the newest
        # changes were always sent, some would never spread.
        recent = self._members.list_recent()
        if len(recent) <= self.anti_entropy.max_records:
            return recent
        return self._random.sample(recent, self.anti_entropy.max_records)

    async def _check_overdue(self) -> None:
        self._detector.check_overdue()
        self._suspect()
        alive = {record.address for record in self._members.list_alive()}
        for address in self._detector.list_missing():
            if address not in alive:
                continue
            await self._probes.ask_helpers(address)

    def _suspect(self) -> None:
        for suspicion in self._detector.list_suspicions():
            # One that nobody else confirms may be wrong, so others don't
            # learn it from this VM.
            self._members.suspect(
                suspicion.address, disseminate=suspicion.is_confirmed
            )
