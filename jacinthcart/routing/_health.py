"""Health of each searcher process as observed by this VM."""

import dataclasses
import math

from jacinthcart.program import Clock

#: Weight of a new latency in the exponentially weighted moving average.
_LATENCY_WEIGHT = 0.3
#: Half-life in seconds of the slowness, so that a searcher that has
#: recovered gets requests again.
_SLOWNESS_HALF_LIFE_S = 4.0
_MAX_SLOWNESS = 50.0
#: Weight of a new result in the moving average of the failure share.
_RESULT_WEIGHT = 0.25
#: Half-life in seconds of the failure share.
_FAILED_HALF_LIFE_S = 5.0
#: Initial backoff after a failure; doubles with each consecutive failure.
_FAILURE_BACKOFF_S = 0.25
_MAX_FAILURE_BACKOFF_S = 3.0
#: Initial backoff after a request was shed; doubles likewise.
_SHED_BACKOFF_S = 0.03
_MAX_SHED_BACKOFF_S = 0.5
#: Service times after which a reported load is ignored.
_LOAD_EXPIRY_ROUNDS = 3.0
_MAX_DOUBLINGS = 8


@dataclasses.dataclass
class SearcherHealth:
    """Health of one searcher process. Times are clock times in seconds."""

    #: Latency relative to the median of the same route; 1 is the median.
    slowness: float = 1.0
    #: Time of the last change of `slowness`.
    slowness_at: float = -math.inf
    #: Recent share of sends that failed, from 0 to 1.
    failed_share: float = 0.0
    #: Time of the last change of `failed_share`.
    failed_share_at: float = -math.inf
    #: Failures since the last success.
    consecutive_failures: int = 0
    #: Requests shed since the last success.
    consecutive_sheds: int = 0
    #: Time until which other searchers are preferred.
    backoff_until: float = -math.inf
    #: Requests that a new one had to wait for, as reported at `load_at`.
    reported_excess: int = 0
    #: Unanswered sends of this VM at `load_at`.
    in_flight_at_report: int = 0
    #: Time of the last reported load.
    load_at: float = -math.inf
    #: Start times of this VM's unanswered sends, by attempt number.
    started_at_by_attempt: dict[int, float] = dataclasses.field(
        default_factory=dict,
    )

    @property
    def in_flight(self) -> int:
        """Return the number of this VM's unanswered sends."""
        return len(self.started_at_by_attempt)

    def compute_oldest_age_s(self, now: float) -> float:
        """Return the age in seconds of the oldest unanswered send."""
        if not self.started_at_by_attempt:
            return 0
        return now - next(iter(self.started_at_by_attempt.values()))

    def compute_slowness(self, now: float) -> float:
        """Return the slowness, decayed by the age of its last sample."""
        age_s = now - self.slowness_at
        weight = math.exp2(-age_s / _SLOWNESS_HALF_LIFE_S)
        return 1 + (self.slowness - 1) * weight

    def compute_failed_share(self, now: float) -> float:
        """Return the failure share, decayed by the age of its last sample."""
        age_s = now - self.failed_share_at
        weight = math.exp2(-age_s / _FAILED_HALF_LIFE_S)
        return self.failed_share * weight

    def estimate_excess(
        self, now: float, slots: int, service_time_s: float
    ) -> float:
        """Return the number of requests that a new one would queue behind.

        A reported load is discounted with its age, because the requests
        that it counted finish: each slot completes one in about
        `service_time_s` seconds.
        """
        own_excess = max(0, self.in_flight + 1 - slots)
        age_s = now - self.load_at
        weight = 1 - age_s / (_LOAD_EXPIRY_ROUNDS * max(service_time_s, 0.001))
        if weight <= 0:
            return own_excess
        added = self.in_flight - self.in_flight_at_report
        reported = (self.reported_excess + added) * weight
        return max(own_excess, reported, 0)


class HealthTracker:
    """Health of all searcher processes, by searcher id and start time."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty tracker."""
        self._clock = clock
        self._health_by_process: dict[tuple[str, int], SearcherHealth] = {}

    def get_or_create(self, process: tuple[str, int]) -> SearcherHealth:
        """Return the health of a searcher process, new if it is unknown."""
        found = self._health_by_process.get(process)
        if found is None:
            found = SearcherHealth()
            self._health_by_process[process] = found
        return found

    def retain_only(self, processes: set[tuple[str, int]]) -> None:
        """Drop processes that are not listed and have no sends in flight."""
        for key, found in list(self._health_by_process.items()):
            if key not in processes and not found.in_flight:
                self._health_by_process.pop(key)

    def record_latency(
        self,
        health: SearcherHealth,
        latency_s: float,
        median_s: float,
    ) -> None:
        """Record a latency, or the time a send has been unanswered."""
        now = self._clock()
        current = health.compute_slowness(now)
        ratio = min(latency_s / max(median_s, 0.001), _MAX_SLOWNESS)
        health.slowness = current + (ratio - current) * _LATENCY_WEIGHT
        health.slowness_at = now

    def record_success(self, health: SearcherHealth) -> None:
        """Record a successful response; ends any backoff."""
        self._record_result(health, failed=False)
        health.consecutive_failures = 0
        health.consecutive_sheds = 0
        health.backoff_until = -math.inf

    def record_failure(self, health: SearcherHealth) -> None:
        """Record a failed send and back off from the searcher."""
        self._record_result(health, failed=True)
        backoff_s = _FAILURE_BACKOFF_S * 2 ** min(
            health.consecutive_failures, _MAX_DOUBLINGS
        )
        health.consecutive_failures += 1
        until = self._clock() + min(backoff_s, _MAX_FAILURE_BACKOFF_S)
        health.backoff_until = max(health.backoff_until, until)

    def record_shed(self, health: SearcherHealth) -> None:
        """Record that the searcher shed a request because of its load.

        This also counts as a failure: otherwise a searcher that sheds some
        requests would rank equal to searchers that shed none.
        """
        self._record_result(health, failed=True)
        backoff_s = _SHED_BACKOFF_S * 2 ** min(
            health.consecutive_sheds, _MAX_DOUBLINGS
        )
        health.consecutive_sheds += 1
        until = self._clock() + min(backoff_s, _MAX_SHED_BACKOFF_S)
        health.backoff_until = max(health.backoff_until, until)

    def record_load(
        self,
        health: SearcherHealth,
        load: tuple[int, int, int],
    ) -> None:
        """Record the load that a searcher reported."""
        running, waiting, slots = load
        health.reported_excess = max(0, running + waiting + 1 - slots)
        health.in_flight_at_report = health.in_flight
        health.load_at = self._clock()

    def _record_result(self, health: SearcherHealth, *, failed: bool) -> None:
        now = self._clock()
        share = health.compute_failed_share(now)
        share += (float(failed) - share) * _RESULT_WEIGHT
        health.failed_share = share
        health.failed_share_at = now
