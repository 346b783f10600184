"""What became of one part of a query, whoever ran it."""

import dataclasses
import enum
from collections.abc import Iterable, Sequence

from jacinthcart.dispatch import PartResult, Snapshot
from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.gather._messages import Hit, SubqueryReply


class MissingReason(enum.StrEnum):
    """Why a shard is missing; refusal codes are further reasons."""

    LATE = 'late'
    PEER_FAILED = 'peer_failed'
    WRONG_VERSION = 'wrong_version'
    WRONG_SNAPSHOT = 'wrong_snapshot'
    WRONG_SHARDS = 'wrong_shards'
    INVALID_HITS = 'invalid_hits'


#: Refusals after which another owner of the part may be able to run it.
_REROUTED_REASONS = frozenset(
    (
        RefusalCode.NO_REPLICA.value,
        RefusalCode.NOT_READY.value,
        RefusalCode.LEAVING.value,
    ),
)


@dataclasses.dataclass(frozen=True)
class PartWork:
    """Shards to ask one part for."""

    #: Name of the part.
    part: str
    #: Shards asked for.
    shards: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class PartOutcome:
    """Hits and missing shards of one part."""

    #: The work that this is the outcome of.
    work: PartWork
    #: Snapshot that the hits come from.
    snapshot: Snapshot
    #: Hits by shard.
    hits_by_shard: dict[int, list[Hit]]
    #: Reason by shard that did not answer.
    missing: dict[int, str]
    #: Index versions that the searchers hold instead of the pinned one.
    other_versions: frozenset[int] = frozenset()
    #: Whether work on the missing shards may have run.
    ran: Ran = Ran.UNKNOWN
    #: Milliseconds after which a refused part may be asked again.
    retry_after_ms: int | None = None

    @property
    def may_be_rerouted(self) -> bool:
        """Return whether another owner may run what did not run here."""
        if self.hits_by_shard or self.ran is not Ran.NOT_RUN:
            return False
        return all(
            reason in _REROUTED_REASONS for reason in self.missing.values()
        )


def outcome_from_result(
    work: PartWork,
    snapshot: Snapshot,
    found: PartResult,
) -> PartOutcome:
    """Return the outcome of a part that the dispatcher ran.

    Missing shards of a result may have run: a hedge or an earlier attempt
    may have reached a searcher.
    """
    return PartOutcome(
        work,
        snapshot,
        found.hits_by_shard,
        found.missing,
        found.other_versions,
    )


def outcome_from_refusal(
    work: PartWork,
    snapshot: Snapshot,
    refusal: RefusalError,
) -> PartOutcome:
    """Return the outcome of a refused part."""
    return dataclasses.replace(
        create_missing_outcome(
            work,
            snapshot,
            refusal.code.value,
            refusal.ran,
        ),
        retry_after_ms=refusal.retry_after_ms,
    )


def create_missing_outcome(
    work: PartWork,
    snapshot: Snapshot,
    reason: str,
    ran: Ran,
) -> PartOutcome:
    """Return the outcome of a part without any answer."""
    return PartOutcome(
        work,
        snapshot,
        {},
        dict.fromkeys(work.shards, str(reason)),
        ran=ran,
    )


def outcomes_from_reply(
    works: Iterable[PartWork],
    reply: SubqueryReply,
) -> list[PartOutcome]:
    """Split another gather's reply by part.

    Shards that were not asked for are given to no part; a shard that the
    reply leaves out stays absent, so that the merge rejects the part.
    """
    snapshot = Snapshot(reply.index_version, reply.partition_map)
    return [_select_part(work, snapshot, reply) for work in works]


def _select_part(
    work: PartWork,
    snapshot: Snapshot,
    reply: SubqueryReply,
) -> PartOutcome:
    missing = {
        shard: reply.missing[shard]
        for shard in work.shards
        if shard in reply.missing
    }
    return PartOutcome(
        work,
        snapshot,
        {
            shard: reply.hits_by_shard[shard]
            for shard in work.shards
            if shard in reply.hits_by_shard
        },
        missing,
        reply.other_versions.get(work.part, frozenset()),
        Ran.NOT_RUN if reply.not_run.issuperset(missing) else Ran.UNKNOWN,
        reply.retry_after_ms,
    )


def find_retry_after(outcomes: Iterable[PartOutcome]) -> int | None:
    """Return the longest delay (ms) that a refused part asked for."""
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
    """Return the JSON form of a subquery's reply."""
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
            other_versions[outcome.work.part] = versions
        if outcome.ran is Ran.NOT_RUN:
            not_run.extend(outcome.missing)
    return {
        'index_version': snapshot.index_version,
        'partition_map': snapshot.partition_map,
        'hits_by_shard': hits_by_shard,
        'missing': missing,
        'other_versions': other_versions,
        'not_run': not_run,
        'retry_after_ms': find_retry_after(outcomes),
    }
