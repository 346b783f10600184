"""What a caller asked, and the form in which searchers are asked."""

import abc
import dataclasses


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """One valid request of a caller."""

    #: Id that the caller gave to this attempt.
    request_id: str
    #: HTTP method.
    method: str
    #: Path with query, unchanged.
    target: str
    #: Host without a port, in lower case.
    host: str
    #: Path without the query.
    path: str
    #: Headers that are passed on.
    headers: tuple[tuple[bytes, bytes], ...]
    #: Whole body.
    body: bytes
    #: The caller's key, None when it sent none.
    credential: str | None
    #: Moment (s) at which the request was read.
    received_at: float
    #: Moment (s) until which the caller waits.
    deadline: float


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a searcher's response."""

    #: HTTP status.
    status: int
    #: Headers in order, names in lower case.
    headers: tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True)
class SearcherResponse:
    """A complete response with what its headers say."""

    #: Status and headers.
    head: ResponseHead
    #: Whole body.
    body: bytes
    #: Digest that the searcher signed the response with, None without.
    stamp: str | None
    #: Whether the searcher states that it did not run the request.
    is_not_run: bool
    #: Running requests, waiting requests and slots; None when not told.
    load: tuple[int, int, int] | None
    #: Seconds after which the searcher closes the idle connection.
    idle_timeout_s: float | None
    #: Whether the searcher closes the connection.
    is_last: bool

    @property
    def is_success(self) -> bool:
        """Return whether the searcher answered the request."""
        is_signed = self.stamp is not None and not self.is_not_run
        return is_signed and 200 <= self.head.status < 300


class BaseSearcherCodec(abc.ABC):
    """Writes requests to searchers and reads their responses' headers."""

    @abc.abstractmethod
    def encode_request(
        self,
        request: CallerRequest,
        searcher_id: str,
        remaining_s: float,
        workspace: str | None,
    ) -> bytes:
        """Return the bytes of a request that only this searcher may run."""

    @abc.abstractmethod
    def find_request_id(self, head: ResponseHead) -> str | None:
        """Return the id of the request that a response answers."""

    @abc.abstractmethod
    def decode_response(
        self,
        head: ResponseHead,
        body: bytes,
    ) -> SearcherResponse:
        """Return the response with what its headers say."""
