"""Health of each searcher process as observed by this VM."""

import dataclasses
import math

from jacinthcart.program import Clock
from jacinthcart.routing._load_report import LoadReport
from jacinthcart.routing._report_accuracy import ReportAccuracy

#: Weight of a new latency in the exponentially weighted moving average.
_LATENCY_WEIGHT = 0.3
#: Half-life in seconds of the slowness. It decays so that a searcher that
#: has recovered gets requests again.
_SLOWNESS_HALF_LIFE_S = 4.0
_MAX_SLOWNESS = 50.0
#: Half-life in seconds of a reported slowdown. The load of the other users of
#: a machine lasts for some hundred milliseconds.
_SLOWDOWN_HALF_LIFE_S = 0.5
#: Bounds of a reported slowdown. They limit the factor by which a false report
#: changes the expected service time.
_MIN_SLOWDOWN = 0.2
_MAX_SLOWDOWN = 20.0
#: Weight of a new result in the moving average of the failure rate.
_RESULT_WEIGHT = 0.25
#: Half-life in seconds of the failure rate.
_FAILURE_RATE_HALF_LIFE_S = 5.0
#: Initial backoff in seconds after a failure; doubles with each consecutive
#: failure.
_FAILURE_BACKOFF_S = 0.25
_MAX_FAILURE_BACKOFF_S = 3.0
#: Initial backoff in seconds after a searcher shed a request; doubles
#: likewise.
_SHED_BACKOFF_S = 0.03
_MAX_SHED_BACKOFF_S = 0.5
#: Age in service times from which a reported load is ignored.
_LOAD_EXPIRY_SERVICE_TIMES = 3.0
_MAX_DOUBLINGS = 8
#: Seconds for which the length of a complete response is remembered.
_LENGTH_S = 10.0
#: Factor by which sound responses may be longer than the remembered one.
_LENGTH_FACTOR = 2.0


@dataclasses.dataclass
class SearcherHealth:
    """Health of one searcher process. Times are clock times in seconds."""

    #: Moving average of the latency relative to the route's median, without
    #: the reported slowdown of the machine; 1 is the median.
    slowness: float = 1.0
    #: Time of the last change of `slowness`.
    slowness_at: float = -math.inf
    #: Moving average of the fraction of sends that failed, from 0 to 1.
    failure_rate: float = 0.0
    #: Time of the last change of `failure_rate`.
    failure_rate_at: float = -math.inf
    #: Failures since the last success.
    consecutive_failures: int = 0
    #: Requests shed since the last success.
    consecutive_sheds: int = 0
    #: Time until which other searchers are preferred.
    backoff_until: float = -math.inf
    #: Length in bytes of the longest successful response lately.
    longest_bytes: int = 0
    #: Time of the last response of about that length.
    longest_at: float = -math.inf
    #: Load last reported, at `load_at`; None before the first report.
    load: LoadReport | None = None
    #: Unanswered sends of this VM at `load_at`.
    in_flight_at_report: int = 0
    #: Time at which the load was last reported.
    load_at: float = -math.inf
    #: Slowdown last reported, at `slowdown_at`, within its bounds.
    slowdown: float = 1.0
    #: Time at which a slowdown was last reported.
    slowdown_at: float = -math.inf
    #: How well reports agree with latencies, where delays are predicted.
    report_accuracy: ReportAccuracy = dataclasses.field(
        default_factory=ReportAccuracy
    )
    #: Start times of this VM's unanswered sends, by attempt number.
    started_at_by_attempt: dict[int, float] = dataclasses.field(
        default_factory=dict,
    )

    @property
    def in_flight(self) -> int:
        """Return the number of this VM's unanswered sends."""
        return len(self.started_at_by_attempt)

    @property
    def reports_slowdown(self) -> bool:
        """Return whether the searcher has ever reported a slowdown."""
        return self.slowdown_at > -math.inf

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

    def compute_slowdown(self, now: float) -> float:
        """Return the slowdown, decayed by the age of its report.

        It is exactly 1 if none has been reported, or none that is credible.
        """
        if self.slowdown == 1 or not self.report_accuracy.is_credible:
            return 1
        age_s = now - self.slowdown_at
        weight = math.exp2(-age_s / _SLOWDOWN_HALF_LIFE_S)
        return 1 + (self.slowdown - 1) * weight

    def compute_failure_rate(self, now: float) -> float:
        """Return the failure rate, decayed by the age of its last sample."""
        age_s = now - self.failure_rate_at
        weight = math.exp2(-age_s / _FAILURE_RATE_HALF_LIFE_S)
        return self.failure_rate * weight

    def has_usual_length(self, length: int, now: float) -> bool:
        """Return whether successful responses lately were about as long."""
        is_recent = now - self.longest_at <= _LENGTH_S
        return is_recent and length <= self.longest_bytes * _LENGTH_FACTOR

    def estimate_queue_length(
        self, now: float, slots: int, service_time_s: float
    ) -> float:
        """Return the number of requests that a new one would queue behind.

        A reported load counts less with age, because the requests that it
        includes finish: each slot completes one in about `service_time_s`
        seconds.
        """
        own_queue_length = max(0, self.in_flight + 1 - slots)
        if self.load is None:
            return own_queue_length
        age_s = now - self.load_at
        weight = 1 - age_s / (
            _LOAD_EXPIRY_SERVICE_TIMES * max(service_time_s, 0.001)
        )
        if weight <= 0:
            return own_queue_length
        added = self.in_flight - self.in_flight_at_report
        reported = (self.load.queue_length + added) * weight
        return max(own_queue_length, reported, 0)


class HealthTracker:
    """Health of all searcher processes, by searcher id and start time."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty tracker."""
        self._clock = clock
        self._health_by_process: dict[tuple[str, int], SearcherHealth] = {}

    def get_or_create(self, process: tuple[str, int]) -> SearcherHealth:
        """Return the health of a searcher process; create it if needed."""
        found = self._health_by_process.get(process)
        if found is None:
            found = SearcherHealth()
            self._health_by_process[process] = found
        return found

    def has_usual_length(self, process: tuple[str, int], length: int) -> bool:
        """Return whether a process lately completed responses as long.

        Its health doesn't depend on the memory of this VM or on the time that
        callers leave for such a response.
        """
        health = self.get_or_create(process)
        return health.has_usual_length(length, self._clock())

    def retain_only(self, processes: set[tuple[str, int]]) -> None:
        """Drop processes not in `processes` that have no sends in flight."""
        for key, found in list(self._health_by_process.items()):
            if key not in processes and not found.in_flight:
                self._health_by_process.pop(key)

    def record_latency(
        self,
        health: SearcherHealth,
        latency_s: float,
        median_s: float,
    ) -> None:
        """Record a latency, or how long a send has been unanswered.

        `median_s` is the median latency of the route. The slowness is to
        last longer than the slowdown of the machine, so the part of the
        latency that the slowdown explains is left out.
        """
        now = self._clock()
        current = health.compute_slowness(now)
        usual_s = latency_s / health.compute_slowdown(now)
        ratio = min(usual_s / max(median_s, 0.001), _MAX_SLOWNESS)
        health.slowness = current + (ratio - current) * _LATENCY_WEIGHT
        health.slowness_at = now

    def record_success(self, health: SearcherHealth) -> None:
        """Record a successful response; ends any backoff."""
        self._record_result(health, failed=False)
        health.consecutive_failures = 0
        health.consecutive_sheds = 0
        health.backoff_until = -math.inf

    def record_length(self, health: SearcherHealth, length: int) -> None:
        """Record the length in bytes of a successful response."""
        now = self._clock()
        is_recent = now - health.longest_at <= _LENGTH_S
        if length * _LENGTH_FACTOR >= health.longest_bytes or not is_recent:
            health.longest_at = now
        if length >= health.longest_bytes or not is_recent:
            health.longest_bytes = length

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

        This also counts towards the failure rate: otherwise a searcher that
        sheds some requests would cost the same as one that sheds none.
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
        load: LoadReport,
    ) -> None:
        """Record a reported load.

        A report without a slowdown leaves the last slowdown to its decay.
        """
        health.load = load
        health.in_flight_at_report = health.in_flight
        health.load_at = self._clock()
        if load.slowdown is not None:
            bounded = min(load.slowdown, _MAX_SLOWDOWN)
            health.slowdown = max(bounded, _MIN_SLOWDOWN)
            health.slowdown_at = health.load_at

    def _record_result(self, health: SearcherHealth, *, failed: bool) -> None:
        now = self._clock()
        rate = health.compute_failure_rate(now)
        rate += (float(failed) - rate) * _RESULT_WEIGHT
        health.failure_rate = rate
        health.failure_rate_at = now
