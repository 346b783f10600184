"""Calls to one part of a service and their results."""

import dataclasses
from typing import Any

from jacinthcart.settings import RequestClass


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """What all results of one answer must come from."""

    #: Version of the index.
    index_version: int
    #: Revision of the assignment of shards to parts.
    partition_map: int


@dataclasses.dataclass(frozen=True)
class PartCall:
    """One query's work on one part."""

    #: Id of the caller's request.
    request_id: str
    #: Service id, `<team>/<name>`.
    service_id: str
    #: Name of the part.
    part: str
    #: Shards asked for.
    shards: tuple[int, ...]
    #: The pinned snapshot.
    snapshot: Snapshot
    #: The caller's query, passed on unchanged.
    query: Any
    #: Workspace id, `<team>/<name>`.
    workspace_id: str
    #: Class of the route.
    request_class: RequestClass
    #: Deadline in seconds on the program's clock.
    deadline: float
    #: Whether the request is non-idempotent and may be sent only once.
    is_submit: bool = False


@dataclasses.dataclass(frozen=True)
class PartResult:
    """What was received and verified for one part."""

    #: Hits by shard; only shards that answered from the pinned snapshot.
    hits_by_shard: dict[int, list[dict[str, Any]]]
    #: Reason by shard that did not answer.
    missing: dict[int, str]
    #: Index versions that searchers reported instead of the pinned one.
    other_versions: frozenset[int] = frozenset()
