"""Outcome of one request to one searcher."""

import dataclasses
import enum

from jacinthcart.dispatch._reply import SearcherReply


class MissingReason(enum.StrEnum):
    """Why a shard is missing from an answer."""

    NO_REPLICA = 'no_replica'
    TIMEOUT = 'timeout'
    WRONG_VERSION = 'wrong_version'
    OVERLOADED = 'overloaded'
    FAILED = 'failed'


class Progress(enum.IntEnum):
    """How far a request progressed; higher values progressed further."""

    #: No byte was sent.
    NOT_SENT = 0
    #: The searcher refused the request without running it.
    REFUSED = 1
    #: The request may have run.
    UNKNOWN = 2
    #: A verified reply arrived.
    ANSWERED = 3


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result or failure of one request."""

    #: How far the request progressed.
    progress: Progress
    #: Reason for the failure; None with a reply.
    reason: MissingReason | None = None
    #: The verified reply; None on failure.
    reply: SearcherReply | None = None
    #: Index versions that the searcher holds, from its refusal.
    versions: frozenset[int] = frozenset()
    #: Time from sending to the reply in seconds; None without a reply.
    latency_s: float | None = None
