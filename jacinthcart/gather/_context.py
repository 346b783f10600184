"""Dependencies shared by all queries, and the state pinned by one query."""

import dataclasses

from jacinthcart.errors import RefusalCode, RefusalError
from jacinthcart.feed import StateFeed
from jacinthcart.gather._backend import BaseDispatcher
from jacinthcart.gather._messages import QueryMessage
from jacinthcart.gather._peers import PeerSet
from jacinthcart.gather._plan import OwnerTable
from jacinthcart.settings import RouteKind, SettingsView
from jacinthcart.telemetry import Metrics


@dataclasses.dataclass(frozen=True)
class GatherContext:
    """Dependencies shared by all queries of the gather."""

    #: Current settings, live VMs and the serving lease.
    feed: StateFeed
    #: Calls the searchers of the parts that this VM owns.
    dispatcher: BaseDispatcher
    #: Clients of the gathers on other VMs.
    peers: PeerSet
    #: Owners of parts, cached for the current settings view.
    owner_table: OwnerTable
    #: Histograms and counters.
    metrics: Metrics

    def check_may_send(self, deadline: float) -> None:
        """Raise RefusalError without a serving lease or past the deadline.

        The deadline is in seconds on the feed's clock.
        """
        if not self.feed.is_serving():
            raise RefusalError(RefusalCode.NOT_READY, detail='no lease')
        if self.feed.clock() >= deadline:
            raise RefusalError(RefusalCode.DEADLINE_PASSED)


@dataclasses.dataclass(frozen=True)
class PinnedQuery:
    """A query with the settings that were current when it started."""

    #: The validated request.
    message: QueryMessage
    #: Settings view that was current when the query started.
    view: SettingsView
    #: Time on the feed's clock, in seconds, until which part outcomes are
    #: accepted.
    merge_deadline: float

    @property
    def is_submit(self) -> bool:
        """Return whether the request must run at most once."""
        return self.message.route_kind is RouteKind.SUBMIT
