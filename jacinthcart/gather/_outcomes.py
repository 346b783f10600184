"""Outcome of one part of a query, run on this or another VM."""

import dataclasses
import enum
from collections.abc import Iterable, Sequence

from jacinthcart.dispatch import PartResult, Snapshot
from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.gather._messages import Hit, SubqueryReply


class MissingReason(enum.StrEnum):
    """Why a shard is missing, as found by the gather.

    The reason of a shard may also be a refusal code or one of the
    dispatcher's reasons.
    """

    LATE = 'late'
    PEER_FAILED = 'peer_failed'
    WRONG_VERSION = 'wrong_version'
    WRONG_SNAPSHOT = 'wrong_snapshot'
    WRONG_SHARDS = 'wrong_shards'
    INVALID_HITS = 'invalid_hits'


#: Refusals after which another owner of the part may be able to run it.
_REROUTABLE_REASONS = frozenset(
    (
        RefusalCode.NO_REPLICA.value,
        RefusalCode.NOT_READY.value,
        RefusalCode.LEAVING.value,
    ),
)


@dataclasses.dataclass(frozen=True)
class PartRequest:
    """Shards requested from one part."""

    part: str
    shards: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class PartOutcome:
    """Hits and missing shards of one part."""

    #: Request that the outcome belongs to.
    request: PartRequest
    #: Snapshot that the hits come from.
    snapshot: Snapshot
    hits_by_shard: dict[int, list[Hit]]
    #: Reason for each shard that did not answer.
    missing: dict[int, str]
    #: Index versions that the searchers hold instead of the pinned one.
    other_versions: frozenset[int] = frozenset()
    #: Whether the request may have run on the missing shards.
    ran: Ran = Ran.UNKNOWN
    #: Time in milliseconds after which a refused part may be retried.
    retry_after_ms: int | None = None

    @property
    def may_be_rerouted(self) -> bool:
        """Return whether the part did not run but may run on another owner."""
        if self.hits_by_shard or self.ran is not Ran.NOT_RUN:
            return False
        return all(
            reason in _REROUTABLE_REASONS for reason in self.missing.values()
        )


def outcome_from_result(
    request: PartRequest,
    snapshot: Snapshot,
    result: PartResult,
) -> PartOutcome:
    """Return the outcome of a part that the dispatcher ran.

    The request may have run on missing shards: a hedge or an earlier
    attempt may have reached a searcher.
    """
    return PartOutcome(
        request,
        snapshot,
        result.hits_by_shard,
        result.missing,
        result.other_versions,
    )


def outcome_from_refusal(
    request: PartRequest,
    snapshot: Snapshot,
    refusal: RefusalError,
) -> PartOutcome:
    """Return the outcome of a refused part."""
    return dataclasses.replace(
        create_missing_outcome(
            request,
            snapshot,
            refusal.code.value,
            refusal.ran,
        ),
        retry_after_ms=refusal.retry_after_ms,
    )


def create_missing_outcome(
    request: PartRequest,
    snapshot: Snapshot,
    reason: str,
    ran: Ran,
) -> PartOutcome:
    """Return the outcome of a part that did not answer."""
    return PartOutcome(
        request,
        snapshot,
        {},
        dict.fromkeys(request.shards, str(reason)),
        ran=ran,
    )


def outcomes_from_reply(
    requests: Iterable[PartRequest],
    reply: SubqueryReply,
) -> list[PartOutcome]:
    """Split another gather's reply by part.

    Shards that were not requested are dropped. A shard that the reply omits
    stays absent, so that the merge rejects the part.
    """
    snapshot = Snapshot(reply.index_version, reply.partition_map)
    return [_select_part(request, snapshot, reply) for request in requests]


def _select_part(
    request: PartRequest,
    snapshot: Snapshot,
    reply: SubqueryReply,
) -> PartOutcome:
    missing = {
        shard: reply.missing[shard]
        for shard in request.shards
        if shard in reply.missing
    }
    return PartOutcome(
        request,
        snapshot,
        {
            shard: reply.hits_by_shard[shard]
            for shard in request.shards
            if shard in reply.hits_by_shard
        },
        missing,
        reply.other_versions.get(request.part, frozenset()),
        Ran.NOT_RUN if reply.not_run.issuperset(missing) else Ran.UNKNOWN,
        reply.retry_after_ms,
    )


def compute_retry_after_ms(outcomes: Iterable[PartOutcome]) -> int | None:
    """Return the longest retry delay in ms that a refused part requested."""
    return max(
        (
            outcome.retry_after_ms
            for outcome in outcomes
            if outcome.retry_after_ms is not None
        ),
        default=None,
    )


def reply_from_outcomes(
    snapshot: Snapshot,
    outcomes: Sequence[PartOutcome],
) -> dict[str, object]:
    """Return the JSON form of the reply to a subquery."""
    hits_by_shard: dict[str, list[Hit]] = {}
    missing: dict[str, str] = {}
    other_versions: dict[str, list[int]] = {}
    not_run: list[int] = []
    for outcome in outcomes:
        for shard, hits in outcome.hits_by_shard.items():
            hits_by_shard[str(shard)] = hits
        for shard, reason in outcome.missing.items():
            missing[str(shard)] = reason
        if outcome.other_versions:
            versions = sorted(outcome.other_versions)
            other_versions[outcome.request.part] = versions
        if outcome.ran is Ran.NOT_RUN:
            not_run.extend(outcome.missing)
    return {
        'index_version': snapshot.index_version,
        'partition_map': snapshot.partition_map,
        'hits_by_shard': hits_by_shard,
        'missing': missing,
        'other_versions': other_versions,
        'not_run': not_run,
        'retry_after_ms': compute_retry_after_ms(outcomes),
    }
