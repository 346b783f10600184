"""Stepwise increase of a cold searcher's concurrency (slow start)."""


class Ramp:
    """Ramp of one incident, run only by the VM that warms the searcher.

    The allowance is the permitted number of concurrent requests. It doubles
    after each step in which every response was good and at least one
    arrived. A failed request or a bad response, such as one that reports
    the state `cold`, resets the allowance to its initial value.
    """

    def __init__(self, incident: int, cold_allowance: int, now: float) -> None:
        """Start with `cold_allowance` concurrent requests."""
        self.incident = incident
        self.allowance = cold_allowance
        self.started_at = now
        self.has_good_response = False
        self._cold_allowance = cold_allowance
        self._step_started_at = now

    @property
    def is_above_start(self) -> bool:
        """Return whether the allowance is above its initial value."""
        return self.allowance > self._cold_allowance

    def record_good_response(self, sent_at: float) -> None:
        """Record a good response to a request sent at `sent_at`.

        A request sent before the ramp started is not counted, because it
        does not show how the searcher handles the ramp's load.
        """
        if sent_at >= self.started_at:
            self.has_good_response = True

    def restart(self, now: float) -> None:
        """Restart at the first step after a bad response or a failure."""
        self.allowance = self._cold_allowance
        self._begin_step(now)

    def is_step_over(self, now: float, step_s: float) -> bool:
        """Return whether the step time has passed with a good response."""
        return self.has_good_response and now - self._step_started_at >= step_s

    def advance(self, now: float, limit: int) -> bool:
        """End a step; return whether the ramp is complete.

        A ramp is complete after a full step with an allowance of `limit`.
        """
        if self.allowance >= limit:
            return True
        self.allowance = min(self.allowance * 2, limit)
        self._begin_step(now)
        return False

    def _begin_step(self, now: float) -> None:
        self.has_good_response = False
        self._step_started_at = now
