"""Typed results of requests, validated when they arrive."""

import dataclasses
from typing import Any

import pydantic


@dataclasses.dataclass(frozen=True)
class Address:
    """Where the entry of one VM listens."""

    #: IP address.
    address: str
    #: TCP port.
    port: int

    @property
    def base_url(self) -> str:
        """The URL that paths are appended to."""
        host = f'[{self.address}]' if ':' in self.address else self.address
        return f'http://{host}:{self.port}'


@dataclasses.dataclass(frozen=True)
class AddressList:
    """An answer to `GET /v1/addresses`."""

    #: Usable VMs, preferred first.
    addresses: tuple[Address, ...]
    #: Time in milliseconds after which the list must be dropped.
    keep_for_ms: int
    #: Start of the ids of non-idempotent requests.
    request_id_prefix: str | None = None


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """What all hits of an answer come from."""

    #: Version of the index.
    index_version: int
    #: Revision of the assignment of shards to parts.
    partition_map: int


@dataclasses.dataclass(frozen=True)
class MissingShard:
    """A shard without results in the answer."""

    #: The shard.
    shard: int
    #: Why it is missing.
    reason: str


@dataclasses.dataclass(frozen=True)
class Coverage:
    """How much of the data an answer covers."""

    #: Number of shards that the request asked.
    shards_asked: int
    #: Number of shards whose results are in the answer.
    shards_answered: int
    #: The other shards.
    missing: tuple[MissingShard, ...]
    #: Whether every shard answered.
    complete: bool


@dataclasses.dataclass(frozen=True)
class Answer:
    """The whole answer to one request."""

    #: Id of the request.
    request_id: str
    #: Workspace that the request ran for.
    workspace: str
    #: Index version and partition map.
    snapshot: Snapshot
    #: Shards asked and answered.
    coverage: Coverage
    #: Hits, best first.
    hits: tuple[dict[str, Any], ...]


ANSWER_ADAPTER = pydantic.TypeAdapter(Answer)
ADDRESS_LIST_ADAPTER = pydantic.TypeAdapter(AddressList)
ADDRESSES_ADAPTER = pydantic.TypeAdapter(tuple[Address, ...])
