"""Time limits of requests while the process shuts down."""

import dataclasses
import math
from collections.abc import Callable

from jacinthcart.catalogue import Route
from jacinthcart.errors import RefusalCode, RefusalError
from jacinthcart.program import Clock
from jacinthcart.routing import QuantileTracker


@dataclasses.dataclass(frozen=True)
class ShutdownParameters:
    """Which requests are accepted, and when all are ended."""

    #: Fraction of the grace period after which every request is ended with a
    #: response. The rest is for writing the responses.
    answer_fraction: float = 0.95
    #: Quantile of the route's latencies that a request is expected to take.
    latency_quantile: float = 0.95
    #: Expected latencies for which there must be time.
    latency_factor: float = 2.0
    #: The same number for requests that must not run more than once. Callers
    #: can't repeat one that the shutdown ends.
    once_latency_factor: float = 4.0


_DEFAULT_PARAMETERS = ShutdownParameters()


class Shutdown:
    """Ensures that the shutdown cuts no request without a response."""

    def __init__(
        self,
        clock: Clock,
        latencies: QuantileTracker,
        params: ShutdownParameters = _DEFAULT_PARAMETERS,
    ) -> None:
        """Create the state of a process that keeps running.

        `latencies` contains the latencies of successful sends.
        """
        #: Called when the shutdown begins.
        self.listeners: list[Callable[[], None]] = []
        #: Clock time in seconds at which every request is ended.
        self.answer_at = math.inf
        self._clock = clock
        self._latencies = latencies
        self._params = params

    def begin(self, grace_s: float) -> None:
        """Begin the shutdown; the process is killed after `grace_s`."""
        self.answer_at = self._clock() + grace_s * self._params.answer_fraction
        for listener in self.listeners:
            listener()

    def check(self, route: Route, deadline: float) -> None:
        """Raise RefusalError if the request may not end before the process.

        `deadline` is the clock time in seconds until which it may take.
        """
        expected_end = self._clock() + self._estimate_latency_s(route)
        if min(deadline, expected_end) > self.answer_at:
            # Another VM can serve the request at once.
            raise RefusalError(
                RefusalCode.LEAVING,
                detail='the shutdown may end before the request',
                retry_after_ms=0,
            )

    def _estimate_latency_s(self, route: Route) -> float:
        params = self._params
        factor = params.once_latency_factor
        if route.is_idempotent:
            factor = params.latency_factor
        return factor * self._latencies.quantile_s(
            route.name, params.latency_quantile, route.target_s
        )
