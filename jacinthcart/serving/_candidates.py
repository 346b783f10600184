"""The searchers that one request may be sent to."""

from jacinthcart.catalogue import Searcher
from jacinthcart.routing import CallContext, SearcherClient
from jacinthcart.serving._policy import HoldPolicy


class Candidates:
    """Chooses among a service's searchers that the request has not met."""

    def __init__(
        self,
        context: CallContext,
        service: str,
        calls: SearcherClient,
        hold_policy: HoldPolicy,
    ) -> None:
        """Start with all searchers of the service."""
        self.met: set[str] = set()
        self._route = context.route
        self._service = service
        self._calls = calls
        self._hold_policy = hold_policy

    def choose(self, *, allows_paused: bool) -> Searcher | None:
        """Return the best searcher, None when no other is left."""
        return self._calls.table.choose(
            self._service,
            self.met,
            self._calls.usual_s(self._route),
            self._route.target_s,
            allows_paused=allows_paused,
        )

    def find_opening(self) -> float:
        """Return the second from which any of them may get a request."""
        return self._calls.table.find_opening(self._service, self.met)

    def should_hold(self, searcher: Searcher) -> bool:
        """Return whether the request is held back from a searcher for now."""
        table = self._calls.table
        return self._hold_policy.should_hold(
            self._service,
            table.find_evidence(searcher).in_flight,
            table.estimate_latency_s(
                searcher,
                self._calls.usual_s(self._route),
            ),
            self._calls.clock(),
        )
