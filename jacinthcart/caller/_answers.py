"""Typed results of requests and the adapters that validate them."""

import dataclasses
from typing import Any

import pydantic


@dataclasses.dataclass(frozen=True)
class Address:
    """Address of the entry process of one VM."""

    #: IP address.
    address: str
    #: TCP port.
    port: int

    @property
    def base_url(self) -> str:
        """Base URL to which paths are appended."""
        host = f'[{self.address}]' if ':' in self.address else self.address
        return f'http://{host}:{self.port}'


@dataclasses.dataclass(frozen=True)
class AddressList:
    """Response to `GET /v1/addresses`."""

    #: Usable VMs, preferred first.
    addresses: tuple[Address, ...]
    #: Time in milliseconds after which the list must be dropped.
    keep_for_ms: int
    #: Prefix for the ids of non-idempotent requests.
    request_id_prefix: str | None = None


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """Version of the data that all hits of an answer come from."""

    #: Version of the index.
    index_version: int
    #: Revision of the assignment of shards to parts.
    partition_map: int


@dataclasses.dataclass(frozen=True)
class MissingShard:
    """A shard without results in the answer."""

    #: Shard number.
    shard: int
    #: Why it is missing.
    reason: str


@dataclasses.dataclass(frozen=True)
class Coverage:
    """How much of the data an answer covers."""

    #: Number of shards that the request queried.
    shards_asked: int
    #: Number of shards whose results are in the answer.
    shards_answered: int
    #: Shards without results in the answer.
    missing: tuple[MissingShard, ...]
    #: Whether every shard answered.
    complete: bool


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer to one request."""

    #: Id of the request.
    request_id: str
    #: Workspace that the request ran for.
    workspace: str
    #: Index version and partition map that the hits come from.
    snapshot: Snapshot
    #: Numbers of shards queried and answered.
    coverage: Coverage
    #: Hits, best first.
    hits: tuple[dict[str, Any], ...]


ANSWER_ADAPTER = pydantic.TypeAdapter(Answer)
ADDRESS_LIST_ADAPTER = pydantic.TypeAdapter(AddressList)
ADDRESSES_ADAPTER = pydantic.TypeAdapter(tuple[Address, ...])
