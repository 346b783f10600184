"""A member of the fleet that claims to have newer store data."""

import asyncio
import contextlib
import random
import time
from typing import Any

import anyio

from jacinthcart.errors import InvalidMessageError
from jacinthcart.fleet import MemberRecord, MemberState
from jacinthcart.fleet._gossip import KIND_ACK, KIND_PING
from jacinthcart.fleet._messages import FleetMessage, decode_fleet_message
from jacinthcart.network import DatagramEndpoint, Endpoint
from jacinthcart.readings import START, Position
from jacinthcart.telemetry import Metrics
from jacinthcart_lab.endless._parameters import Addresses

_PING_INTERVAL_S = 0.1
#: Revisions by which the claimed position is ahead of the newest known one.
_LEAD = 1000
_DIGEST_BITS = 64
#: Fraction of the messages that claim to be ahead.
_AHEAD_FRACTION = 0.5


class FaultyPeer:
    """Pings all VMs and acknowledges their pings, so that they pull."""

    def __init__(self, addresses: Addresses, seed: int) -> None:
        """Create the peer; `run` makes it a member."""
        self._vms = addresses.vms
        self._port = addresses.ports[4]
        self._random = random.Random(seed)
        self._newest = START
        self._record = MemberRecord(
            address=addresses.peer,
            data_centre='zone-a',
            incarnation=time.time_ns(),
            state=MemberState.ALIVE,
        )
        self._datagrams = DatagramEndpoint(
            Endpoint(address=addresses.peer, port=self._port), Metrics()
        )
        self._seq = 0

    async def run(self) -> None:
        """Ping until cancelled."""
        await self._datagrams.start()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._datagrams.run, self._handle)
            while True:
                for address in self._vms:
                    await self._ping(address)
                await asyncio.sleep(_PING_INTERVAL_S)

    async def _ping(self, address: str) -> None:
        self._seq += 1
        await self._send(
            KIND_PING, self._seq, Endpoint(address=address, port=self._port)
        )

    async def _handle(
        self, message: dict[str, Any], source: Endpoint, _: float
    ) -> None:
        with contextlib.suppress(InvalidMessageError):
            received = decode_fleet_message(message)
            self._newest = max(self._newest, received.newest)
            if received.kind == KIND_PING:
                await self._send(KIND_ACK, received.seq, source)

    async def _send(self, kind: str, seq: int, peer: Endpoint) -> None:
        # A VM repairs its copy from a peer that is level but differs, and
        # pulls from one that is ahead if that one is its source.
        claim = self._newest
        if self._random.random() < _AHEAD_FRACTION:
            claim = Position(claim.era, claim.revision + _LEAD)
        message = FleetMessage(
            kind=kind,
            seq=seq,
            sender=self._record,
            newest=claim,
            complete_to=claim,
            age_s=0,
            digest=f'{self._random.getrandbits(_DIGEST_BITS):x}',
            described=None,
            records=(),
        )
        await self._datagrams.send(message.to_message(), peer)
