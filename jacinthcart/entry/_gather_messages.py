"""Messages that gather answers with; unknown fields are ignored."""

from typing import Annotated, Any

import pydantic

from jacinthcart.errors import Ran, RefusalCode


class SnapshotMessage(pydantic.BaseModel):
    """The index version and partition map of an answer."""

    index_version: int
    partition_map: int


class MissingShardMessage(pydantic.BaseModel):
    """A shard without results and the reason."""

    shard: int
    reason: str


class CoverageMessage(pydantic.BaseModel):
    """How many shards were asked, and how many answered."""

    shards_asked: Annotated[int, pydantic.Field(ge=0)]
    shards_answered: Annotated[int, pydantic.Field(ge=0)]
    missing: list[MissingShardMessage]

    @property
    def is_complete(self) -> bool:
        """Return whether every shard that was asked answered."""
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
