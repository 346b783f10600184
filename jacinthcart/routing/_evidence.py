"""What this VM has seen of each searcher."""

import dataclasses
import math

from jacinthcart.program import Clock

#: Weight of the newest latency in the moving average.
_NEWEST_WEIGHT = 0.3
#: Seconds in which the evidence of slowness halves, so that a searcher that
#: has recovered gets requests again.
_SLOWNESS_HALF_LIFE_S = 4.0
_SLOWNESS_MOST = 50.0
#: Weight of the newest end of a send in the share of failures.
_NEWEST_END_WEIGHT = 0.25
#: Seconds in which the evidence of failures halves.
_FAILED_HALF_LIFE_S = 5.0
#: First pause after a failure, doubled with each further one in a row.
_FAILURE_PAUSE_S = 0.25
_FAILURE_PAUSE_MOST_S = 3.0
#: First pause after a refusal for load.
_SHED_PAUSE_S = 0.03
_SHED_PAUSE_MOST_S = 0.5
#: Turns of the slots after which a reported load says nothing more.
_LOAD_TURNS = 3.0
_MAX_DOUBLINGS = 8


@dataclasses.dataclass
class SearcherHealth:
    """HealthTracker about one process of a searcher."""

    #: Latency relative to the usual one of the same route; 1 is usual.
    slowness: float = 1.0
    #: Moment (s) of the last change of `slowness`.
    slowness_at: float = -math.inf
    #: Recent share of sends that failed, from 0 to 1.
    failed_share: float = 0.0
    #: Moment (s) of the last change of `failed_share`.
    failed_share_at: float = -math.inf
    #: Failures since the last success.
    failures: int = 0
    #: Refusals for load since the last success.
    sheds: int = 0
    #: Moment (s) until which other searchers are preferred.
    paused_until: float = -math.inf
    #: Requests reported beyond the slots, at `load_at`.
    reported_excess: int = 0
    #: Requests of this VM that ran at the searcher when it reported.
    in_flight_at_report: int = 0
    #: Moment (s) of the last reported load.
    load_at: float = -math.inf
    #: Starts (s) of this VM's unanswered sends, by number of the attempt.
    started_at_by_attempt: dict[int, float] = dataclasses.field(
        default_factory=dict,
    )

    @property
    def in_flight(self) -> int:
        """Return this VM's unanswered sends."""
        return len(self.started_at_by_attempt)

    def find_oldest_age_s(self, now: float) -> float:
        """Return the age in seconds of the oldest unanswered send."""
        if not self.started_at_by_attempt:
            return 0
        return now - next(iter(self.started_at_by_attempt.values()))

    def find_slowness(self, now: float) -> float:
        """Return the slowness, less the older its evidence is."""
        age_s = now - self.slowness_at
        kept = math.exp2(-age_s / _SLOWNESS_HALF_LIFE_S)
        return 1 + (self.slowness - 1) * kept

    def find_failed_share(self, now: float) -> float:
        """Return the share of failures, less the older its evidence is."""
        age_s = now - self.failed_share_at
        kept = math.exp2(-age_s / _FAILED_HALF_LIFE_S)
        return self.failed_share * kept

    def find_excess(self, now: float, slots: int, work_s: float) -> float:
        """Return the requests that a new one would wait behind.

        A reported load fades while the requests behind it end, which takes
        about `work_s` seconds for each turn of the slots.
        """
        own_excess = max(0, self.in_flight + 1 - slots)
        age_s = now - self.load_at
        weight = 1 - age_s / (_LOAD_TURNS * max(work_s, 0.001))
        if weight <= 0:
            return own_excess
        added = self.in_flight - self.in_flight_at_report
        reported = (self.reported_excess + added) * weight
        return max(own_excess, reported, 0)


class HealthTracker:
    """HealthTracker about all searchers, by id and start."""

    def __init__(self, clock: Clock) -> None:
        """Start without evidence."""
        self._clock = clock
        self._evidence_by_process: dict[tuple[str, int], SearcherHealth] = {}

    def find(self, process: tuple[str, int]) -> SearcherHealth:
        """Return the evidence about one process of a searcher."""
        found = self._evidence_by_process.get(process)
        if found is None:
            found = SearcherHealth()
            self._evidence_by_process[process] = found
        return found

    def forget_except(self, processes: set[tuple[str, int]]) -> None:
        """Drop evidence about processes that are gone and unused."""
        for key, found in list(self._evidence_by_process.items()):
            if key not in processes and not found.in_flight:
                self._evidence_by_process.pop(key)

    def note_latency(
        self,
        evidence: SearcherHealth,
        latency_s: float,
        usual_s: float,
    ) -> None:
        """Take the latency of a send, or the time it is unanswered."""
        now = self._clock()
        current = evidence.find_slowness(now)
        ratio = min(latency_s / max(usual_s, 0.001), _SLOWNESS_MOST)
        evidence.slowness = current + (ratio - current) * _NEWEST_WEIGHT
        evidence.slowness_at = now

    def note_success(self, evidence: SearcherHealth) -> None:
        """Take an answer; the pause after a failure ends."""
        self._note_end(evidence, failed=False)
        evidence.failures = 0
        evidence.sheds = 0
        evidence.paused_until = -math.inf

    def note_failure(self, evidence: SearcherHealth) -> None:
        """Take a failed send; other searchers are preferred for a while."""
        self._note_end(evidence, failed=True)
        pause_s = _FAILURE_PAUSE_S * 2 ** min(evidence.failures, _MAX_DOUBLINGS)
        evidence.failures += 1
        until = self._clock() + min(pause_s, _FAILURE_PAUSE_MOST_S)
        evidence.paused_until = max(evidence.paused_until, until)

    def note_shed(self, evidence: SearcherHealth) -> None:
        """Take a refusal for load.

        It counts as a failure, too: a searcher that refuses now and then
        while others don't would otherwise look as good as them.
        """
        self._note_end(evidence, failed=True)
        pause_s = _SHED_PAUSE_S * 2 ** min(evidence.sheds, _MAX_DOUBLINGS)
        evidence.sheds += 1
        until = self._clock() + min(pause_s, _SHED_PAUSE_MOST_S)
        evidence.paused_until = max(evidence.paused_until, until)

    def note_load(
        self,
        evidence: SearcherHealth,
        load: tuple[int, int, int],
    ) -> None:
        """Take the load that a searcher reported."""
        running, waiting, slots = load
        evidence.reported_excess = max(0, running + waiting + 1 - slots)
        evidence.in_flight_at_report = evidence.in_flight
        evidence.load_at = self._clock()

    def _note_end(self, evidence: SearcherHealth, *, failed: bool) -> None:
        now = self._clock()
        share = evidence.find_failed_share(now)
        share += (float(failed) - share) * _NEWEST_END_WEIGHT
        evidence.failed_share = share
        evidence.failed_share_at = now
