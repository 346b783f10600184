"""What became of one request to one searcher."""

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
    """How far a request came."""

    #: No byte was sent.
    NOT_SENT = 0
    #: The searcher refused it without running.
    REFUSED = 1
    #: It may have run.
    UNKNOWN = 2
    #: A verified reply arrived.
    ANSWERED = 3


@dataclasses.dataclass(frozen=True)
class Outcome:
    """One request's end."""

    #: How far it came.
    progress: Progress
    #: Why it did not succeed; None with a reply.
    reason: MissingReason | None = None
    #: The verified reply.
    reply: SearcherReply | None = None
    #: Index versions that a refusing searcher holds.
    versions: frozenset[int] = frozenset()
    #: Time from sending to the reply in seconds; None without a reply.
    latency_s: float | None = None
