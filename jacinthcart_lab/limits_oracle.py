"""Independent check that admissions stay within rate and burst."""

import dataclasses
from collections.abc import Sequence

#: Rounding error of the floating-point sums, in requests.
_TOLERANCE = 1e-6


@dataclasses.dataclass(frozen=True)
class LimitInForce:
    """A rate and burst that at least one VM used from `start` to `end`."""

    #: Time in seconds at which the first VM used it.
    start: float
    #: Time in seconds at which the last VM stopped using it.
    end: float
    #: Requests per second.
    rate: float
    #: Capacity of the token bucket, in requests.
    burst: float


def compute_excess(
    admitted_at: Sequence[float],
    limits: Sequence[LimitInForce],
    lifetime_s: float,
) -> float:
    """Return the largest excess of any window, 0 if there is none.

    A window may admit `rate * length + burst` requests, with the highest
    rate and burst in force in the window or within `lifetime_s`, the permit
    lifetime, before it.
    """
    times = sorted(admitted_at)
    bounds = sorted({limit.start for limit in limits} | {times[-1]})
    bounds.extend(limit.end for limit in limits if limit.end < bounds[-1])
    bounds = sorted(set(bounds))
    worst = 0.0
    for index, start in enumerate(bounds):
        for end in bounds[index + 1 :]:
            inside = [at for at in times if start <= at <= end]
            in_force = [
                limit
                for limit in limits
                if limit.start < end and limit.end > start - lifetime_s
            ]
            excess = _compute_window_excess(
                inside,
                max(limit.rate for limit in in_force),
                max(limit.burst for limit in in_force),
            )
            worst = max(worst, excess)
    return worst


def compute_exact_excess(
    admitted_at: Sequence[float],
    rate_changes: Sequence[tuple[float, float]],
    burst: float,
) -> float:
    """Return the largest excess of any window at a constant burst.

    A window may admit the burst and the integral of the rate over its
    length. Each change is a time in seconds and the rate from then on.
    """
    worst = 0.0
    level = 0.0
    rate = 0.0
    previous = 0.0
    events = [(at, -1.0) for at in admitted_at]
    for at, change in sorted([*rate_changes, *events]):
        level = max(0.0, level - (at - previous) * rate)
        previous = at
        if change < 0:
            level += 1
            worst = max(worst, level - burst)
        else:
            rate = change
    return worst if worst > _TOLERANCE else 0.0


def _compute_window_excess(
    times: Sequence[float], rate: float, burst: float
) -> float:
    """Return the largest excess of any window at one rate and burst."""
    worst = 0.0
    level = 0.0
    previous = times[0] if times else 0.0
    for at in times:
        level = max(0.0, level - (at - previous) * rate) + 1
        previous = at
        worst = max(worst, level - burst)
    return worst if worst > _TOLERANCE else 0.0
