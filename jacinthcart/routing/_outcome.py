"""Outcome of sending a request to a searcher."""

import dataclasses
import enum

from jacinthcart.routing._codec import SearcherResponse


class OutcomeKind(enum.StrEnum):
    """Whether the searcher ran the request."""

    #: The searcher sent a complete response, success or failure.
    ANSWERED = 'answered'
    #: The request was not sent, or the searcher states that it did not run it.
    NOT_RUN = 'not_run'
    #: The request may have run.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Outcome of one attempt."""

    kind: OutcomeKind
    #: Short reason for logs.
    reason: str
    #: The response, if one was received.
    response: SearcherResponse | None = None
    #: Whether any byte of the request was sent to the searcher.
    was_sent: bool = True
    #: Whether the outcome is recorded in the searcher's health.
    affects_health: bool = True

    @property
    def is_success(self) -> bool:
        """Return whether there is a response and it is a success."""
        return self.response is not None and self.response.is_success


#: Outcome of an attempt that an error in this process has ended.
INTERNAL_ERROR = Outcome(
    OutcomeKind.UNKNOWN, 'internal error', affects_health=False
)
