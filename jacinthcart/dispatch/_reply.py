"""Request and reply messages of a searcher, and reply verification."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from jacinthcart.dispatch._messages import Snapshot
from jacinthcart.errors import (
    InvalidMessageError,
    OutcomeUnknownError,
    WireError,
)
from jacinthcart.wire import decode_json

STATE_COLD = 'cold'
STATE_DRAINING = 'draining'
CODE_WRONG_VERSION = 'wrong_version'
CODE_SHED = 'shed'

_STATUS_SUCCESS = 200
_REFUSAL_STATUSES = frozenset((409, 503))
_MALFORMED_ERRORS = (
    InvalidMessageError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)


@dataclasses.dataclass(frozen=True)
class SearchMessage:
    """One request to one searcher."""

    #: Id of this request; the reply must echo it.
    sub_id: str
    #: Id of the caller's request.
    request_id: str
    #: Snapshot that the results must come from.
    snapshot: Snapshot
    shards: tuple[int, ...]
    #: The caller's query.
    query: Any
    #: Whether the request is non-idempotent.
    is_submit: bool = False

    def encode(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            'sub_id': self.sub_id,
            'request_id': self.request_id,
            'index_version': self.snapshot.index_version,
            'partition_map': self.snapshot.partition_map,
            'shards': self.shards,
            'query': self.query,
            'submit': self.is_submit,
        }


@dataclasses.dataclass(frozen=True)
class SearcherReply:
    """A searcher's reply with results."""

    #: Id of the request that the reply answers.
    sub_id: str
    #: Id of the searcher's process instance.
    generation: str
    #: `warm`, `cold` or `draining`.
    state: str
    #: Load that the searcher reports; used only to break ties in the choice
    #: of a replica.
    load: float
    #: Snapshot that the results come from.
    snapshot: Snapshot
    hits_by_shard: Mapping[int, list[dict[str, Any]]]


@dataclasses.dataclass(frozen=True)
class Observation:
    """State of a searcher as one response reports it."""

    #: When the request was sent, in seconds on the program's clock.
    sent_at: float
    #: Id of the searcher's process instance.
    generation: str
    #: `warm`, `cold` or `draining`.
    state: str
    #: Refusal code; empty for a reply with results.
    code: str = ''

    @property
    def reports_cold(self) -> bool:
        """Return whether the searcher reports that it is cold."""
        return STATE_COLD in {self.state, self.code}

    @property
    def reports_draining(self) -> bool:
        """Return whether the searcher reports that it is draining."""
        return STATE_DRAINING in {self.state, self.code}


class WrongReplyError(OutcomeUnknownError):
    """The reply is malformed or does not match its request."""


class SearcherRefusalError(WireError):
    """The searcher refused the request before running it."""

    def __init__(
        self,
        code: str,
        generation: str,
        state: str,
        versions: frozenset[int],
    ) -> None:
        """Create the error; `versions` are those that the searcher holds."""
        super().__init__(f'searcher refused the request: {code}')
        self.code = code
        self.generation = generation
        self.state = state
        self.versions = versions


def parse_reply(
    message: SearchMessage,
    status: int,
    body: bytes,
) -> SearcherReply:
    """Return the verified reply to `message`.

    Raise SearcherRefusalError for a refusal, WrongReplyError for a reply
    that is malformed or belongs to another request, and
    OutcomeUnknownError for any other status.
    """
    if status != _STATUS_SUCCESS and status not in _REFUSAL_STATUSES:
        raise OutcomeUnknownError(f'searcher responded with status {status}')
    try:
        fields = decode_json(body)
        reply = _decode_reply(message, status, fields)
    except _MALFORMED_ERRORS as error:
        raise WrongReplyError(f'malformed reply: {error!r}') from error
    verify_reply(message, reply)
    return reply


def verify_reply(message: SearchMessage, reply: SearcherReply) -> None:
    """Raise WrongReplyError unless the reply matches the request exactly."""
    if reply.sub_id != message.sub_id:
        raise WrongReplyError('reply has the sub_id of another request')
    if reply.snapshot != message.snapshot:
        raise WrongReplyError('reply is from another snapshot')
    if reply.hits_by_shard.keys() != set(message.shards):
        raise WrongReplyError('reply shards differ from the requested shards')


def _decode_reply(
    message: SearchMessage,
    status: int,
    fields: Mapping[str, Any],
) -> SearcherReply:
    if status in _REFUSAL_STATUSES:
        raise _decode_refusal(message, fields)
    return SearcherReply(
        sub_id=fields['sub_id'],
        generation=str(fields['generation']),
        state=str(fields['state']),
        load=float(fields['load']),
        snapshot=Snapshot(fields['index_version'], fields['partition_map']),
        hits_by_shard={
            int(shard): list(hits) for shard, hits in fields['results'].items()
        },
    )


def _decode_refusal(
    message: SearchMessage,
    fields: Mapping[str, Any],
) -> WireError:
    if fields['sub_id'] != message.sub_id:
        return WrongReplyError('refusal has the sub_id of another request')
    return SearcherRefusalError(
        str(fields['code']),
        str(fields['generation']),
        str(fields['state']),
        frozenset(int(version) for version in fields.get('versions', ())),
    )
