"""Merges part outcomes of one snapshot into an answer and its coverage."""

import dataclasses
from collections.abc import Iterable
from typing import Any

from jacinthcart.dispatch import Snapshot
from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.gather._messages import Hit
from jacinthcart.gather._outcomes import (
    MissingReason,
    PartOutcome,
    PartRequest,
    compute_retry_after_ms,
    create_missing_outcome,
)
from jacinthcart.telemetry import Metrics


@dataclasses.dataclass(frozen=True)
class Answer:
    """A merged answer that lists the shards that did not answer."""

    #: Snapshot that all hits come from.
    snapshot: Snapshot
    #: Number of shards queried.
    shards_asked: int
    #: Number of shards whose hits were merged.
    shards_answered: int
    #: Reason for each missing shard.
    missing: dict[int, str]
    #: Hits by descending score.
    hits: list[Hit]

    def to_message(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            'snapshot': dataclasses.asdict(self.snapshot),
            'coverage': {
                'shards_asked': self.shards_asked,
                'shards_answered': self.shards_answered,
                'missing': [
                    {'shard': shard, 'reason': reason}
                    for shard, reason in sorted(self.missing.items())
                ],
            },
            'hits': self.hits,
        }


class Merge:
    """Collects the outcomes of the parts of one query on one snapshot."""

    def __init__(
        self,
        snapshot: Snapshot,
        requests: Iterable[PartRequest],
        metrics: Metrics,
    ) -> None:
        """Start with the requested shards and no outcomes."""
        self.snapshot = snapshot
        self._metrics = metrics
        self._shards_by_part = {
            request.part: request.shards for request in requests
        }
        self._outcome_by_part: dict[str, PartOutcome] = {}
        self._may_have_run = False

    def add(self, outcome: PartOutcome) -> None:
        """Add the outcome of one part.

        An outcome that does not match the request is recorded as missing.
        The last outcome of a part counts, unless an earlier one has hits.
        """
        accepted = self._validate(outcome)
        self.record_attempt(accepted.ran)
        earlier = self._outcome_by_part.get(outcome.request.part)
        if earlier is None or not earlier.hits_by_shard:
            self._outcome_by_part[outcome.request.part] = accepted

    def record_attempt(self, ran: Ran) -> None:
        """Record whether a failed attempt on a part may have run."""
        if ran is Ran.UNKNOWN:
            self._may_have_run = True

    def add_unanswered(self, reason: MissingReason) -> None:
        """Mark parts without an outcome as missing and possibly run."""
        for part, shards in self._shards_by_part.items():
            if part not in self._outcome_by_part:
                self.add(
                    create_missing_outcome(
                        PartRequest(part, shards),
                        self.snapshot,
                        reason,
                        Ran.UNKNOWN,
                    ),
                )

    def count_answered(self) -> int:
        """Return how many shards answered."""
        return sum(
            len(outcome.hits_by_shard)
            for outcome in self._outcome_by_part.values()
        )

    def find_common_version(self, versions: Iterable[int]) -> int | None:
        """Return the index version to rerun the whole query on, or None.

        This is the first of `versions`, except the current one, that every
        part with a version mismatch reported as available.
        """
        held = [
            outcome.other_versions
            for outcome in self._outcome_by_part.values()
            if MissingReason.WRONG_VERSION in outcome.missing.values()
        ]
        if not held:
            return None
        common = frozenset.intersection(*held) - {self.snapshot.index_version}
        return next(
            (version for version in versions if version in common), None
        )

    def build_answer(self, hit_limit: int) -> Answer:
        """Return the answer; raise RefusalError when no shard answered."""
        outcomes = list(self._outcome_by_part.values())
        hits_by_shard: dict[int, list[Hit]] = {}
        missing: dict[int, str] = {}
        for outcome in outcomes:
            hits_by_shard.update(outcome.hits_by_shard)
            missing.update(outcome.missing)
        self._check_invariants(outcomes, len(hits_by_shard), len(missing))
        if not hits_by_shard:
            raise self._create_refusal(set(missing.values()))
        hits = [
            hit for shard_hits in hits_by_shard.values() for hit in shard_hits
        ]
        hits.sort(key=lambda hit: (-hit['score'], str(hit['id'])))
        return Answer(
            self.snapshot,
            len(hits_by_shard) + len(missing),
            len(hits_by_shard),
            missing,
            hits[:hit_limit],
        )

    def _validate(self, outcome: PartOutcome) -> PartOutcome:
        reason = self._find_mismatch(outcome)
        if reason is None:
            return outcome
        self._metrics.count('merge_discarded', reason)
        asked = self._shards_by_part[outcome.request.part]
        return create_missing_outcome(
            PartRequest(outcome.request.part, asked),
            self.snapshot,
            reason,
            Ran.UNKNOWN,
        )

    def _find_mismatch(self, outcome: PartOutcome) -> MissingReason | None:
        if outcome.snapshot != self.snapshot:
            return MissingReason.WRONG_SNAPSHOT
        asked = self._shards_by_part[outcome.request.part]
        reported = (*outcome.hits_by_shard, *outcome.missing)
        if sorted(reported) != sorted(asked):
            return MissingReason.WRONG_SHARDS
        if not all(
            _is_valid_hit(hit)
            for hits in outcome.hits_by_shard.values()
            for hit in hits
        ):
            return MissingReason.INVALID_HITS
        return None

    def _check_invariants(
        self,
        outcomes: list[PartOutcome],
        answered: int,
        missing: int,
    ) -> None:
        self._metrics.check(
            'one_snapshot',
            {outcome.snapshot for outcome in outcomes} <= {self.snapshot},
        )
        self._metrics.check(
            'shard_merged_once',
            answered == sum(len(outcome.hits_by_shard) for outcome in outcomes),
        )
        asked = sum(len(shards) for shards in self._shards_by_part.values())
        self._metrics.check(
            'coverage_adds_up',
            answered + missing == asked,
            f'{answered} answered, {missing} missing, {asked} asked',
        )

    def _create_refusal(self, reasons: set[str]) -> RefusalError:
        if self._may_have_run:
            return RefusalError(
                RefusalCode.BACKEND_FAILED,
                Ran.UNKNOWN,
                detail='no shard answered',
            )
        return RefusalError(
            _select_code(reasons),
            detail='no shard answered',
            retry_after_ms=compute_retry_after_ms(
                self._outcome_by_part.values()
            ),
        )


def _select_code(reasons: set[str]) -> RefusalCode:
    for code in (RefusalCode.OVERLOADED, RefusalCode.DEADLINE_PASSED):
        if code in reasons:
            return code
    return RefusalCode.NO_REPLICA


def _is_valid_hit(hit: Hit) -> bool:
    score = hit.get('score')
    return 'id' in hit and isinstance(score, int | float)
