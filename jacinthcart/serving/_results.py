"""Results of served requests."""

import dataclasses

from jacinthcart.routing import SearcherResponse


@dataclasses.dataclass(frozen=True)
class SendReport:
    """Sends and missing responses of a request, for logs."""

    #: Searcher and outcome of each send, in order of completion.
    sends: tuple[str, ...]
    #: Services without a usable response and the reason for each.
    missing: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ServedAnswer:
    """The response of a single searcher, success or failure."""

    response: SearcherResponse
    report: SendReport


@dataclasses.dataclass(frozen=True)
class MergedAnswer:
    """The merged records of the shards that answered."""

    #: Distinct digests that the included responses are signed with.
    stamps: tuple[str, ...]
    #: Number of shards that the answer lacks.
    missing: int
    #: Records, greatest first.
    body: bytes
    report: SendReport
