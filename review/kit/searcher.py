"""Stand-in for a searcher; cases override how it answers."""

import asyncio
import itertools
import time
import types

from review.kit.http import Message, encode_response, read_message
from review.kit.record import Record

_NOT_EXECUTED = types.MappingProxyType({'X-Jacinthcart-Not-Executed': '1'})
_PREFIX = 'x-jacinthcart-'


class Searcher:
    """Runs at most `slots` requests at a time and queues a few more."""

    def __init__(
        self,
        searcher_id: str,
        service: str,
        record: Record,
        *,
        slots: int = 3,
        queue: int = 12,
        work_s: float = 0.02,
    ) -> None:
        """Create the searcher; `start` makes it listen."""
        self.searcher_id = searcher_id
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.address = ''
        self.port = 0
        #: Request ids that it began to run, in order.
        self.runs: list[str] = []
        #: Headers of all its answers.
        self.statements: dict[str, str] = {}
        self.record = record
        self._places = asyncio.Semaphore(slots)
        self._queue = queue
        self._held = 0
        self._numbers = itertools.count(1)
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on a free port until `close`."""
        self._server = await asyncio.start_server(self._accept, address, 0)
        self.address = address
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def describe(
        self, zone: str, *, state: str = 'ready', sequence: int = 1
    ) -> dict[str, object]:
        """Return its entry in the store."""
        return {
            'service': self.service,
            'address': f'{self.address}:{self.port}',
            'zone': zone,
            'version': 'v1',
            'concurrency_limit': self.slots,
            'state': state,
            'warmup_left_ms': 0,
            'sequence': sequence,
            'born': self.born,
        }

    async def answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Run the request or shed it, and write the answer."""
        request_id = request.headers.get(f'{_PREFIX}request-id', '')
        if self._held >= self.slots + self._queue:
            writer.write(self.encode_shed(request_id))
            return
        self._held += 1
        try:
            async with self._places:
                self.run(request)
                await asyncio.sleep(self.work_s)
        finally:
            self._held -= 1
        writer.write(self.encode_result(request_id))

    def run(self, request: Message) -> None:
        """Record that the searcher begins to run a request."""
        request_id = request.headers.get(f'{_PREFIX}request-id', '')
        self.runs.append(request_id)
        self.record.write(
            'run',
            request=request_id,
            searcher=self.searcher_id,
            tenant=request.headers.get(f'{_PREFIX}tenant', '-'),
        )

    def encode_shed(self, request_id: str) -> bytes:
        """Return the answer to a request that was not run."""
        headers = {
            'X-Jacinthcart-Request-Id': request_id,
            **_NOT_EXECUTED,
            **self.statements,
        }
        return encode_response(503, headers)

    def encode_result(self, request_id: str) -> bytes:
        """Return the answer to a request that was run."""
        number = next(self._numbers)
        headers = {
            'X-Jacinthcart-Request-Id': request_id,
            'X-Jacinthcart-Server-Stamp': f'{self.searcher_id}.{number}',
            **self.statements,
        }
        return encode_response(200, headers, f'result {number}'.encode())

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request after the other on a connection."""
        request = await read_message(reader)
        while request is not None:
            expected = request.headers.get(f'{_PREFIX}expected-instance')
            if expected not in {None, self.searcher_id}:
                writer.write(
                    encode_response(
                        421,
                        {
                            'X-Jacinthcart-Request-Id': request.headers.get(
                                f'{_PREFIX}request-id', ''
                            ),
                            'X-Jacinthcart-Instance-Id': self.searcher_id,
                        },
                    )
                )
            else:
                await self.answer(request, writer)
            await writer.drain()
            request = await read_message(reader)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
