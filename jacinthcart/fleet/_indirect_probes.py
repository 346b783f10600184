"""Pings on behalf of other members."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pydantic
from anyio.abc import TaskGroup

from jacinthcart.errors import InvalidMessageError
from jacinthcart.fleet._failure_detector import (
    DetectionParameters,
    FailureDetector,
)
from jacinthcart.fleet._members import MemberTable
from jacinthcart.network import BaseDatagrams, Endpoint

KIND_PROBE = 'probe'
KIND_PROBE_RESULT = 'probed'
#: Concurrent pings on behalf of others. Further requests are ignored.
_MAX_PROBES = 64
_MAX_ADDRESS_CHARACTERS = 64


class _ProbeBody(pydantic.BaseModel):
    """Request to ping a member, or its result."""

    address: str = pydantic.Field(max_length=_MAX_ADDRESS_CHARACTERS)
    #: Whether the member was reached; None in a request.
    is_reached: bool | None = None


class IndirectProbes:
    """Asks other members to ping a member, and pings members for them."""

    def __init__(
        self,
        members: MemberTable,
        detector: FailureDetector,
        datagrams: BaseDatagrams,
        *,
        port: int,
        random_source: random.Random,
        params: DetectionParameters,
        send_ping: Callable[[str], Awaitable[int]],
    ) -> None:
        """Initialise.

        `port` is the peer port, the same on all VMs. `send_ping` sends a ping
        that the detector doesn't count and returns its sequence number.
        """
        self._members = members
        self._detector = detector
        self._datagrams = datagrams
        self._port = port
        self._random = random_source
        self._params = params
        self._send_ping = send_ping
        self._answered_by_seq: dict[int, anyio.Event] = {}

    async def ask_helpers(self, address: str) -> None:
        """Ask a few other members to ping a member."""
        helpers = self._choose_helpers(address)
        if helpers:
            self._detector.record_helpers_asked(address)
        for helper in helpers:
            await self._send(KIND_PROBE, [address], helper)

    async def handle(
        self, message: dict[str, Any], source: Endpoint, tasks: TaskGroup
    ) -> None:
        """Handle a request or a result; raise InvalidMessageError.

        A request is served in `tasks`.
        """
        body = _decode(message)
        if body.is_reached is not None:
            self._detector.record_helper_reply(
                body.address, is_reached=body.is_reached
            )
        elif len(self._answered_by_seq) < _MAX_PROBES:
            tasks.start_soon(self._probe, body.address, source.address)

    def record_ack(self, seq: int) -> None:
        """Record the acknowledgement of any ping."""
        answered = self._answered_by_seq.get(seq)
        if answered is not None:
            answered.set()

    def _choose_helpers(self, address: str) -> list[str]:
        own = self._members.own
        others = [
            record
            for record in self._members.list_alive()
            if record.address not in {address, own.address}
        ]
        self._random.shuffle(others)
        target = self._members.log.get_record(address)
        data_centres = {own.data_centre}
        if target is not None:
            data_centres.add(target.data_centre)
        # A fault between two data centres affects all members of both, so
        # members of third ones are asked first, each of another one.
        ranks: dict[str, int] = {}
        for record in others:
            ranks[record.address] = len(ranks) + len(others) * (
                record.data_centre in data_centres
            )
            data_centres.add(record.data_centre)
        return sorted(ranks, key=ranks.__getitem__)[: self._params.helpers]

    async def _probe(self, address: str, asking: str) -> None:
        answered = anyio.Event()
        seq = await self._send_ping(address)
        self._answered_by_seq[seq] = answered
        try:
            with anyio.move_on_after(self._params.timeout_s):
                await answered.wait()
        finally:
            self._answered_by_seq.pop(seq)
        await self._send(
            KIND_PROBE_RESULT, [address, answered.is_set()], asking
        )

    async def _send(self, kind: str, body: list[Any], address: str) -> None:
        endpoint = Endpoint.model_construct(address=address, port=self._port)
        await self._datagrams.send({'kind': kind, 'b': body}, endpoint)


def _decode(message: dict[str, Any]) -> _ProbeBody:
    try:
        return _ProbeBody.model_validate(
            dict(zip(_ProbeBody.model_fields, message.get('b', ()))),
        )
    except (ValueError, TypeError) as error:
        raise InvalidMessageError(f'malformed probe: {error}') from error
