"""Caller requests, searcher responses and the codec between them."""

import abc
import dataclasses

from jacinthcart.routing._load_report import LoadReport
from jacinthcart.routing._response_memory import ResponseHold


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A valid request of a caller."""

    #: Id that the caller assigned to this attempt.
    request_id: str
    method: str
    #: Request target as received: path and query.
    target: str
    #: Host without a port, in lower case.
    host: str
    #: Path without the query.
    path: str
    #: Headers that are forwarded.
    headers: tuple[tuple[bytes, bytes], ...]
    #: Complete request body.
    body: bytes
    #: The caller's key; None if the request has no key.
    credential: str | None
    #: Clock time in seconds at which the request was read.
    received_at: float
    #: Clock time in seconds until which the caller waits.
    deadline: float


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a searcher's response."""

    status: int
    #: Headers in order, names in lower case.
    headers: tuple[tuple[bytes, bytes], ...]
    #: Counts the whole response as held while it exists; None if it is not
    #: counted.
    hold: ResponseHold | None = dataclasses.field(
        default=None, compare=False, repr=False
    )


@dataclasses.dataclass(frozen=True)
class SearcherResponse:
    """A complete response with its decoded headers."""

    #: Status and headers.
    head: ResponseHead
    #: Complete body.
    body: bytes
    #: Digest that the searcher signed the response with; None if unsigned.
    stamp: str | None
    #: Whether the searcher states that it did not run the request.
    is_not_run: bool
    #: Load of the searcher; None if not reported or unusable.
    load: LoadReport | None
    #: Seconds after which the searcher closes the idle connection.
    idle_timeout_s: float | None
    #: Whether the searcher closes the connection after this response.
    closes_connection: bool
    #: Whether the searcher process leaves and wants no further requests.
    is_leaving: bool = False
    #: Seconds for which the searcher, which has rejected the request, wants
    #: none from this VM; None if it named no delay.
    retry_after_s: float | None = None
    #: Whether the load, or a figure of it, was malformed and is ignored.
    has_malformed_load: bool = False
    #: Whether callers take the status as a promise that the request has not
    #: run and never will.
    has_not_run_status: bool = False

    @property
    def is_success(self) -> bool:
        """Return whether this is a signed response with a 2xx status."""
        is_signed = self.stamp is not None and not self.is_not_run
        return is_signed and self._has_success_status

    @property
    def is_failure(self) -> bool:
        """Return whether this is a failure that callers may get unchanged.

        An unsigned response with a 2xx status is neither success nor failure,
        nor is one whose status would tell callers that the request has not
        run, although the searcher does not state that.
        """
        is_misleading = self._has_success_status or self.has_not_run_status
        return not self.is_not_run and not is_misleading

    @property
    def _has_success_status(self) -> bool:
        return 200 <= self.head.status < 300


class BaseSearcherCodec(abc.ABC):
    """Encodes requests to searchers and decodes their responses."""

    @abc.abstractmethod
    def encode_request(
        self,
        request: CallerRequest,
        searcher_id: str,
        remaining_s: float,
        workspace: str | None,
    ) -> bytes:
        """Return an encoded request that only `searcher_id` may run.

        `remaining_s` is the time in seconds until the request's deadline.
        `workspace` is None on public routes.
        """

    @abc.abstractmethod
    def find_request_id(self, head: ResponseHead) -> str | None:
        """Return the id of the request that the response belongs to.

        Return None if the response does not contain it.
        """

    @abc.abstractmethod
    def decode_response(
        self,
        head: ResponseHead,
        body: bytes,
    ) -> SearcherResponse:
        """Return the response with its decoded headers."""
