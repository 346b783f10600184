"""What became of a request that was sent to a searcher."""

import dataclasses
import enum

from jacinthcart.routing._codec import SearcherResponse


class OutcomeKind(enum.StrEnum):
    """Whether the request ran."""

    #: A complete response of the searcher, success or failure.
    ANSWERED = 'answered'
    #: Nothing was sent, or the searcher states that it ran nothing.
    NOT_RUN = 'not_run'
    #: The request may have run.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class Outcome:
    """End of one attempt."""

    kind: OutcomeKind
    #: Short reason for logs.
    reason: str
    #: The response, for ANSWERED only.
    response: SearcherResponse | None = None
    #: Whether any byte was sent to the searcher.
    was_sent: bool = True
    #: Whether the end says something about the searcher.
    is_evidence: bool = True

    @property
    def is_success(self) -> bool:
        """Return whether the searcher answered with a success."""
        return self.response is not None and self.response.is_success
