"""HTTP interface of the emulated searchers, their faults and counters."""

from typing import Any

import anyio
import orjson
from anyio.abc import SocketStream

from jacinthcart_emulator._http_server import (
    HttpResponse,
    HttpRequest,
    HttpServerConnection,
)
from jacinthcart_emulator._models import SearcherFault
from jacinthcart_emulator._searcher import EmulatedSearcher

_DEFAULT_DEADLINE_MS = 10000
_MS_PER_S = 1000
_OK = 200
_NOT_FOUND = 404


class SearcherEndpoint:
    """Serves one searcher on its own address and port."""

    def __init__(self, searcher: EmulatedSearcher) -> None:
        """Create the endpoint; `run` makes it listen."""
        self._searcher = searcher
        self._previous_answer: dict[str, Any] | None = None

    async def run(self) -> None:
        """Accept connections until cancelled."""
        spec = self._searcher.spec
        listener = await anyio.create_tcp_listener(
            local_host=spec.address,
            local_port=spec.port,
            backlog=1024,
        )
        async with listener:
            await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream: SocketStream) -> None:
        searcher = self._searcher
        async with stream:
            searcher.counts['connections_opened'] += 1
            if searcher.faults.refuse_connections:
                return
            if searcher.connections >= searcher.spec.connection_limit:
                searcher.counts['connections_refused'] += 1
                return
            searcher.connections += 1
            try:
                await anyio.sleep(searcher.spec.connect_ms / _MS_PER_S)
                await HttpServerConnection(stream, self._handle).serve()
            finally:
                searcher.connections -= 1

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        # Keys of callers must never reach a searcher; tests check the counter.
        if b'authorization' in request.headers:
            self._searcher.counts['caller_keys_seen'] += 1
        if request.target == '/v1/load':
            return _create_json_response(
                {'load': self._searcher.reported_load()}
            )
        message = orjson.loads(request.body)
        if request.target == '/v1/cancel':
            self._searcher.cancel(message['sub_id'])
            return _create_json_response({})
        if request.target != '/v1/search':
            return HttpResponse(_NOT_FOUND, b'')
        return await self._search(request, message)

    async def _search(
        self,
        request: HttpRequest,
        message: dict[str, Any],
    ) -> HttpResponse:
        faults = self._searcher.faults
        if faults.stall:
            await anyio.sleep_forever()
        deadline_ms = float(
            request.headers.get(b'x-deadline-ms', _DEFAULT_DEADLINE_MS),
        )
        status, answer = await self._searcher.search(message, deadline_ms)
        draw = self._searcher.random_source.random
        previous = self._previous_answer
        self._previous_answer = answer
        if faults.cross_fraction > 0 and previous is not None:
            if draw() < faults.cross_fraction:
                answer = previous
        truncated = (
            faults.truncate_fraction > 0 and draw() < faults.truncate_fraction
        )
        return HttpResponse(status, orjson.dumps(answer), truncated)


class FaultEndpoint:
    """Sets faults and reports counters of all searchers of one process."""

    def __init__(
        self,
        address: str,
        port: int,
        searchers: list[EmulatedSearcher],
    ) -> None:
        """Create the endpoint; `run` makes it listen."""
        self._address = address
        self._port = port
        self._searchers_by_id = {
            searcher.spec.id: searcher for searcher in searchers
        }

    async def run(self) -> None:
        """Accept connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._address,
            local_port=self._port,
        )
        async with listener:
            await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream: SocketStream) -> None:
        async with stream:
            await HttpServerConnection(stream, self._handle).serve()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.target == '/emulator/counts':
            return _create_json_response(
                {
                    searcher_id: searcher.describe()
                    for searcher_id, searcher in self._searchers_by_id.items()
                },
            )
        if request.target == '/emulator/submits':
            return _create_json_response(
                {
                    searcher_id: searcher.runs_by_submit_id
                    for searcher_id, searcher in self._searchers_by_id.items()
                },
            )
        if request.target != '/emulator/fault':
            return HttpResponse(_NOT_FOUND, b'')
        fault = SearcherFault.model_validate_json(request.body)
        for searcher_id, searcher in self._searchers_by_id.items():
            if fault.searcher in {searcher_id, '*'}:
                searcher.apply_fault(fault)
        return _create_json_response({})


def _create_json_response(message: Any) -> HttpResponse:
    return HttpResponse(_OK, orjson.dumps(message))
