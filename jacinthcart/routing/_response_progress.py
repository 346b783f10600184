"""What has arrived of a response, for metrics and logs."""

import collections
import dataclasses
import functools
import time
import weakref
from collections.abc import Callable

from jacinthcart.routing._body import BaseResponseBody
from jacinthcart.routing._response_memory import BaseHeldBody
from jacinthcart.wire import ParsedHead

#: Received bytes of a response beyond which the processor time of parsing is
#: measured and its body is registered. Reading the clock of the thread is a
#: system call, which small responses need not pay.
_MEASURED_BYTES = 4096


@dataclasses.dataclass
class SearcherTraffic:
    """What was sent to and received from one searcher since it was listed."""

    #: Requests that were sent and whose exchange has ended.
    sends: int = 0
    #: Bytes of responses, including heads and chunk headers.
    received_bytes: int = 0
    #: Processor seconds of parsing, without those of the first 4096 bytes of
    #: each response.
    parse_s: float = 0
    #: Responses that began to arrive and did not complete, by reason.
    unfinished_by_reason: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    #: Clock time in seconds before which no log line is written.
    next_line_at: float = 0
    #: Log lines left out since the last one.
    suppressed_lines: int = 0


class ResponseProgress:
    """Measures the responses on one connection, one exchange at a time."""

    def __init__(self, bodies: weakref.WeakSet[BaseHeldBody]) -> None:
        """Start without an exchange; large bodies are added to `bodies`."""
        #: Bytes received during the exchange.
        self.received_bytes = 0
        #: Status of the last final head; None before its end.
        self.status: int | None = None
        #: Name of the framing of its body; None before the end of its head.
        self.framing: str | None = None
        #: Whether it was given up for lack of memory.
        self.was_discarded = False
        self._traffic = SearcherTraffic()
        self._bodies = bodies
        self._body: weakref.ref[BaseResponseBody] | None = None
        self._ended_pieces = 0

    @property
    def pieces(self) -> int:
        """Return the number of pieces of the last body."""
        body = self._get_body()
        return self._ended_pieces if body is None else body.pieces

    def begin(self, traffic: SearcherTraffic) -> None:
        """Measure the next exchange and add it to `traffic`."""
        self.received_bytes = 0
        self.status = None
        self.framing = None
        self.was_discarded = False
        self._traffic = traffic
        self._body = None
        self._ended_pieces = 0

    def begin_body(self, head: ParsedHead, body: BaseResponseBody) -> None:
        """Record that a head was received; the body begins."""
        self.status = head.status
        self.framing = head.framing.name.lower()
        self._body = weakref.ref(body)

    def end_body(self, body: BaseResponseBody | None) -> None:
        """Record that the connection drops its unfinished body, if any."""
        if body is not None:
            self._ended_pieces = body.pieces

    def record_received(self, received_bytes: int) -> None:
        """Count received bytes, which may be parsed later."""
        self.received_bytes += received_bytes
        self._traffic.received_bytes += received_bytes

    def feed(self, parse: Callable[[bytes], None], received: bytes) -> None:
        """Count and parse received bytes and measure that."""
        self.record_received(len(received))
        if self.received_bytes <= _MEASURED_BYTES:
            parse(received)
        else:
            self.parse(functools.partial(parse, received))

    def parse(self, parse: Callable[[], None]) -> None:
        """Parse bytes that were counted and measure that."""
        if self.received_bytes <= _MEASURED_BYTES:
            parse()
            return
        started_s = time.thread_time()
        parse()
        self._traffic.parse_s += time.thread_time() - started_s
        body = self._get_body()
        if body is not None:
            self._bodies.add(body)

    def _get_body(self) -> BaseResponseBody | None:
        return None if self._body is None else self._body()
