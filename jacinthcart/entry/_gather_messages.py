"""Messages received from gather; unknown fields are ignored."""

from typing import Annotated, Any

import pydantic

from jacinthcart.errors import Ran, RefusalCode


class SnapshotMessage(pydantic.BaseModel):
    """Index version and partition map that an answer was read from."""

    index_version: int
    partition_map: int


class MissingShardMessage(pydantic.BaseModel):
    """A shard without results, and why."""

    shard: int
    reason: str


class CoverageMessage(pydantic.BaseModel):
    """Number of shards that were queried and that answered."""

    shards_asked: Annotated[int, pydantic.Field(ge=0)]
    shards_answered: Annotated[int, pydantic.Field(ge=0)]
    missing: list[MissingShardMessage]

    @property
    def is_complete(self) -> bool:
        """Return whether every queried shard answered."""
        return self.shards_asked == self.shards_answered and not self.missing


class GatherAnswerMessage(pydantic.BaseModel):
    """Gather's answer to a query."""

    request_id: str
    snapshot: SnapshotMessage
    coverage: CoverageMessage
    hits: list[Any]


class GatherRefusalMessage(pydantic.BaseModel):
    """Gather's refusal of a query."""

    code: RefusalCode
    ran: Ran
    detail: str = ''
    retry_after_ms: int | None = None
