"""The process of all faulty senders, which share one link."""

import asyncio
import contextlib
import functools
import itertools
import os
import random
import re
from collections.abc import Coroutine
from typing import Any

import anyio

from jacinthcart_emulator.endless import (
    DATAGRAM_FORMS,
    MIXED,
    REQUEST_FORMS,
    RESPONSE_FORMS,
    FormChoice,
    SharedLink,
    create_datagrams,
    send_endlessly,
)
from jacinthcart_lab.endless._channel import report, wait_for_line
from jacinthcart_lab.endless._faulty_peer import FaultyPeer
from jacinthcart_lab.endless._parameters import HOST, KEY, Plan

_REQUEST_ID = re.compile(rb'x-jacinthcart-request-id: *(\S+)', re.IGNORECASE)
_CONTENT_LENGTH = re.compile(rb'content-length: *(\d+)', re.IGNORECASE)
_HEAD_END = b'\r\n\r\n'
_FAILURES = (OSError, EOFError, asyncio.LimitOverrunError)
#: Fraction of the answers of the faulty store that are endless.
_STORE_FRACTION = 0.5
#: Time in seconds for which a faulty caller sends.
_CALLER_TIME_S = 4.0


class FaultySenders:
    """Searchers, a store, a peer, callers or datagrams without end."""

    def __init__(self, plan: Plan) -> None:
        """Create the senders; `run` starts those of the plan's path."""
        self._plan = plan
        params = plan.params
        self._random = random.Random(params.seed)
        self._link = SharedLink()
        self._sends = 0
        self._is_active = False
        forms = REQUEST_FORMS if params.path == 'caller' else RESPONSE_FORMS
        self._choice = FormChoice(forms, params.form, self._random)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send until the driver ends the play, then report."""
        params = self._plan.params
        addresses = self._plan.addresses
        if params.has_trouble:
            await self._start_servers()
        report({'state': 'ready'})
        await wait_for_line()
        self._is_active = True
        if params.has_trouble and params.path == 'caller':
            self._start(self._send_requests())
        elif params.has_trouble and params.path == 'datagram':
            self._start(self._send_datagrams())
        elif params.has_trouble and params.path == 'peer':
            self._start(FaultyPeer(addresses, params.seed).run())
        await wait_for_line()
        report({'faulty_sends': self._sends})
        # Nothing is left to do, and endless senders would log their end.
        os._exit(0)

    async def _start_servers(self) -> None:
        addresses = self._plan.addresses
        for service, ports in self._plan.faulty_ports.items():
            for port in ports:
                serve = functools.partial(self._serve_searcher, service)
                await asyncio.start_server(serve, addresses.faulty, port)
        if self._plan.params.path == 'store':
            await asyncio.start_server(
                self._serve_store,
                addresses.faulty,
                addresses.faulty_store_port,
            )
        if self._plan.params.path == 'peer':
            await asyncio.start_server(
                self._serve_peer, addresses.peer, addresses.ports[4]
            )

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_searcher(
        self,
        service: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(*_FAILURES):
            head = await reader.readuntil(_HEAD_END)
            found = _REQUEST_ID.search(head)
            request_id = found.group(1) if found else b''
            stamp = b'%s.%s' % (service.encode(), request_id)
            await self._respond(
                writer,
                b'X-Jacinthcart-Request-Id: %s' % request_id,
                b'X-Jacinthcart-Server-Stamp: %s' % stamp,
            )
        writer.transport.abort()

    async def _serve_peer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*_FAILURES):
            await reader.readuntil(_HEAD_END)
            await self._respond(writer, b'Content-Type: application/zlib')
        writer.transport.abort()

    async def _serve_store(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*_FAILURES):
            while True:
                head = await reader.readuntil(_HEAD_END)
                draw = self._random.random()
                if self._is_active and draw < _STORE_FRACTION:
                    await self._respond(
                        writer, b'Content-Type: application/json'
                    )
                writer.write(await self._ask_sound_store(head))
                await writer.drain()
        writer.transport.abort()

    async def _ask_sound_store(self, head: bytes) -> bytes:
        addresses = self._plan.addresses
        reader, writer = await asyncio.open_connection(
            addresses.sound, addresses.store_port
        )
        try:
            writer.write(head)
            return await _read_answer(reader)
        finally:
            writer.close()

    async def _respond(
        self, writer: asyncio.StreamWriter, *headers: bytes
    ) -> None:
        self._sends += 1
        form = self._choice.choose()
        beginning = form.encode_response(self._plan.params.status, headers)
        await send_endlessly(form, beginning, writer, self._link)

    async def _send_requests(self) -> None:
        while True:
            addresses = self._plan.addresses
            for address in addresses.vms:
                for number in range(self._plan.params.batch):
                    # Callers, readiness, directory and operators in turn,
                    # most of them to the port of callers.
                    port = addresses.ports[max(0, number % 8 - 4)]
                    self._start(self._send_request(address, port))
            await asyncio.sleep(1)

    async def _send_request(self, address: str, port: int) -> None:
        self._sends += 1
        form = self._choice.choose()
        beginning = form.encode_request(
            (
                b'POST /b/x HTTP/1.1',
                b'Host: %s' % HOST.encode(),
                b'X-Jacinthcart-Request-Id: f%015x' % self._sends,
                b'X-Jacinthcart-Credential: %s' % KEY.encode(),
            )
        )
        with contextlib.suppress(*_FAILURES, TimeoutError):
            async with asyncio.timeout(_CALLER_TIME_S):
                _, writer = await asyncio.open_connection(address, port)
                try:
                    await send_endlessly(form, beginning, writer, self._link)
                finally:
                    writer.transport.abort()

    async def _send_datagrams(self) -> None:
        params = self._plan.params
        addresses = self._plan.addresses
        async with await anyio.create_udp_socket(
            local_host=addresses.faulty
        ) as source:
            names = [params.form] if params.form != MIXED else DATAGRAM_FORMS
            datagrams = [
                one
                for name in names
                for one in create_datagrams(name, self._random)
            ]
            targets = itertools.cycle(addresses.vms)
            while True:
                datagram = self._random.choice(datagrams)
                self._sends += 1
                await self._link.reserve(len(datagram))
                with contextlib.suppress(OSError):
                    await source.sendto(
                        datagram, next(targets), addresses.ports[4]
                    )


async def _read_answer(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(_HEAD_END)
    length = _CONTENT_LENGTH.search(head)
    return head + await reader.readexactly(
        int(length.group(1)) if length else 0
    )
