"""How well the load reports of a searcher agree with its latencies."""

import dataclasses
import math

#: Weight of a new sample in the moving averages of the errors.
_WEIGHT = 0.3
#: Number of doublings by which the error with reports may exceed that without
#: them. Right reports are up to about one doubling off while a queue grows.
_MAX_EXCESS = 1.5
#: Shortest latency in seconds that is compared.
_MIN_LATENCY_S = 0.001


@dataclasses.dataclass
class ReportAccuracy:
    """Compares two predictions of one searcher's latencies.

    The report of a response is compared with the latency of that response:
    both describe the searcher at the same moment, whether or not its reports
    keep requests away from it. Errors are in doublings, so that a latency of
    half the predicted one weighs as much as twice it.
    """

    #: Moving average of the error of the latency that reports imply.
    reported_error: float = 0.0
    #: Moving average of the error of the usual latency.
    usual_error: float = 0.0

    @property
    def is_credible(self) -> bool:
        """Return whether reports predict about as well as no reports."""
        return self.reported_error - self.usual_error <= _MAX_EXCESS

    def record(
        self, latency_s: float, reported_s: float, usual_s: float
    ) -> None:
        """Record a latency beside both predictions, all in seconds."""
        self.reported_error += _WEIGHT * (
            _compute_error(latency_s, reported_s) - self.reported_error
        )
        self.usual_error += _WEIGHT * (
            _compute_error(latency_s, usual_s) - self.usual_error
        )


def _compute_error(latency_s: float, predicted_s: float) -> float:
    ratio = max(latency_s, _MIN_LATENCY_S) / max(predicted_s, _MIN_LATENCY_S)
    return abs(math.log2(ratio))
