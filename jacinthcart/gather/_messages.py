"""Messages of the gather's HTTP interface, validated on receipt."""

from typing import Any, TypeVar

import pydantic

from jacinthcart.dispatch import PartCall, Snapshot
from jacinthcart.errors import InvalidMessageError, Ran, RefusalCode
from jacinthcart.settings import RequestClass, RouteKind

DEFAULT_HIT_LIMIT = 10
_MAX_HIT_LIMIT = 10_000
_MAX_DEADLINE_MS = 600_000
_MAX_ID_LENGTH = 200

Hit = dict[str, Any]


class _Message(pydantic.BaseModel):
    """Base of messages between programs; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class _QueryFields(_Message):
    """Fields that queries and subqueries share.

    `deadline_ms` is the remaining time, in milliseconds.
    """

    request_id: str = pydantic.Field(min_length=1, max_length=_MAX_ID_LENGTH)
    service_id: str
    workspace_id: str
    request_class: RequestClass
    route_kind: RouteKind
    deadline_ms: float = pydantic.Field(le=_MAX_DEADLINE_MS)
    query: dict[str, Any]

    def create_part_call(
        self,
        part: str,
        shards: tuple[int, ...],
        snapshot: Snapshot,
        deadline: float,
    ) -> PartCall:
        """Return the call of one part.

        `deadline` is in seconds on this process's clock.
        """
        return PartCall(
            request_id=self.request_id,
            service_id=self.service_id,
            part=part,
            shards=shards,
            snapshot=snapshot,
            query=self.query,
            workspace_id=self.workspace_id,
            request_class=self.request_class,
            deadline=deadline,
            is_submit=self.route_kind is RouteKind.SUBMIT,
        )


def _is_hit_limit(limit: object) -> bool:
    if not isinstance(limit, int) or isinstance(limit, bool):
        return False
    return 1 <= limit <= _MAX_HIT_LIMIT


class QueryMessage(_QueryFields):
    """`POST /v1/queries` from an entry."""

    #: VM that deduplicates the request id; None for idempotent requests.
    home_vm: str | None = None

    @property
    def hit_limit(self) -> int:
        """Maximum number of hits in the answer."""
        return int(self.query.get('limit', DEFAULT_HIT_LIMIT))

    @pydantic.model_validator(mode='after')
    def _check_query(self) -> 'QueryMessage':
        limit = self.query.get('limit', DEFAULT_HIT_LIMIT)
        if not _is_hit_limit(limit):
            raise ValueError(f'limit is not between 1 and {_MAX_HIT_LIMIT}')
        if self.route_kind is RouteKind.LOOKUP:
            if not isinstance(self.query.get('id'), str | int):
                raise ValueError('a lookup needs an id, text or integer')
        return self


class SubqueryMessage(_QueryFields):
    """`POST /v1/subqueries` from the gather of another VM."""

    index_version: int
    partition_map: int
    parts: dict[str, tuple[int, ...]] = pydantic.Field(min_length=1)


class SubqueryReply(_Message):
    """Reply to a subquery; parts are keyed by name, shards by number."""

    index_version: int
    partition_map: int
    hits_by_shard: dict[int, list[Hit]]
    missing: dict[int, str]
    #: Index versions that the searchers of a part hold instead of the
    #: requested one.
    other_versions: dict[str, frozenset[int]] = {}
    #: Missing shards on which the request is known not to have run.
    not_run: frozenset[int] = frozenset()
    #: Longest retry delay that a refused part requested, in milliseconds.
    retry_after_ms: int | None = None


class RefusalBody(_Message):
    """Details of a refused call."""

    code: RefusalCode
    ran: Ran
    detail: str = ''
    retry_after_ms: int | None = None


class RefusalMessage(_Message):
    """A refusal from another gather."""

    refusal: RefusalBody


_Model = TypeVar('_Model', bound=_Message)


def parse_message(model: type[_Model], body: bytes) -> _Model:
    """Validate a JSON body; raise InvalidMessageError."""
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise InvalidMessageError(describe_errors(error)) from error


def describe_errors(error: pydantic.ValidationError) -> str:
    """Describe invalid fields and violated rules without the values."""
    return '; '.join(
        '{0}: {1}'.format(
            '.'.join(str(step) for step in entry['loc']),
            entry['msg'],
        )
        for entry in error.errors(include_input=False, include_url=False)
    )
