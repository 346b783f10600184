"""What a served request ends with."""

import dataclasses

from jacinthcart.routing import SearcherResponse


@dataclasses.dataclass(frozen=True)
class SendReport:
    """How an answer came about, for logs."""

    #: Searcher and outcome of each send, in order of their ends.
    sends: tuple[str, ...]
    #: Shards without a part and the reason, empty for one service.
    missing: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ServedAnswer:
    """The response of one searcher, success or failure."""

    response: SearcherResponse
    report: SendReport


@dataclasses.dataclass(frozen=True)
class MergedAnswer:
    """The merged records of the shards that answered."""

    #: Digest of each part that is included.
    stamps: tuple[str, ...]
    #: Shards that are left out.
    missing: int
    #: Records, greatest first.
    body: bytes
    report: SendReport
