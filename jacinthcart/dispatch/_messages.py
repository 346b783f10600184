"""Calls to one part of a service and their results."""

import dataclasses
from typing import Any

from jacinthcart.settings import RequestClass


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """Index version and partition map that all results must come from."""

    index_version: int
    #: Revision of the assignment of shards to parts.
    partition_map: int


@dataclasses.dataclass(frozen=True)
class PartCall:
    """A request for some shards of one part, on behalf of one query."""

    #: Id of the caller's request.
    request_id: str
    #: Service id, `<team>/<name>`.
    service_id: str
    part: str
    shards: tuple[int, ...]
    #: Snapshot pinned for the whole query.
    snapshot: Snapshot
    #: The caller's query, passed on unchanged.
    query: Any
    #: Workspace id, `<team>/<name>`.
    workspace_id: str
    #: Request class of the route.
    request_class: RequestClass
    #: Deadline in seconds on the program's clock.
    deadline: float
    #: Whether the request is non-idempotent and may run only once.
    is_submit: bool = False


@dataclasses.dataclass(frozen=True)
class PartResult:
    """Verified hits and missing shards of one part."""

    #: Hits by shard, only of shards that answered from the pinned snapshot.
    hits_by_shard: dict[int, list[dict[str, Any]]]
    #: Reason for each shard that did not answer.
    missing: dict[int, str]
    #: Index versions other than the pinned one that searchers reported.
    other_versions: frozenset[int] = frozenset()
