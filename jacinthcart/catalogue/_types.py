"""Routes, services, searchers and workspaces of one configuration."""

import dataclasses
import enum
from collections.abc import Mapping


class SearcherState(enum.StrEnum):
    """What a searcher said of itself last."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True)
class TrafficShare:
    """One service of a route whose requests are split by weight."""

    #: Name of the service.
    service: str
    #: Weight relative to the other shares of the route; at least 0.
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Where requests of one host and path prefix go."""

    #: Name in the configuration.
    name: str
    #: Host that callers ask for, in lower case.
    host: str
    #: Path prefix that begins and ends with a slash.
    prefix: str
    #: Whether a request may run more than once.
    is_idempotent: bool
    #: Longest time in seconds that a caller is kept waiting.
    timeout_s: float
    #: Time in seconds within which a response has its full benefit.
    target_s: float
    #: Rank, 0 is the most urgent.
    priority: int
    #: Most searchers (of each shard) on which one request may run.
    attempts: int
    #: Whether callers need no key.
    is_public: bool
    #: Services to which requests are distributed by weight; empty for a
    #: route over shards.
    shares: tuple[TrafficShare, ...]
    #: Services that each hold one shard; empty for other routes.
    shards: tuple[str, ...]
    #: Records in a merged response.
    top_k: int = 0
    #: Least share of the shards that a response must include.
    min_shard_share: float = 0

    @property
    def is_scattered(self) -> bool:
        """Return whether a request goes to every shard."""
        return bool(self.shards)


@dataclasses.dataclass(frozen=True)
class ServiceConfig:
    """What holds for every searcher of one service."""

    #: Name of the service.
    name: str
    #: Most connections of one searcher from all VMs together.
    max_connections: int
    #: Requests a second that a cold searcher bears; 0 sets no limit.
    cold_rate_per_s: float


@dataclasses.dataclass(frozen=True)
class WorkspaceConfig:
    """Allotment and rank of one workspace."""

    #: Name of the workspace.
    name: str
    #: Rank that replaces the route's; None leaves the route's rank.
    priority: int | None
    #: Requests a second over the whole fleet; 0 sets no limit.
    rate_per_s: float
    #: Requests beyond the rate that may come at once.
    burst: float


@dataclasses.dataclass(frozen=True)
class FrontLimits:
    """What a caller may send and how long it may take."""

    #: Longest header section in bytes.
    max_header_bytes: int = 16384
    #: Longest body in bytes.
    max_body_bytes: int = 262144
    #: Seconds until a started header section must be complete.
    header_timeout_s: float = 3.0
    #: Seconds after which an idle connection is closed.
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Searcher:
    """One running searcher."""

    #: Id that the searcher published itself under.
    searcher_id: str
    #: Name of its service.
    service: str
    #: IP address.
    address: str
    #: TCP port.
    port: int
    #: Data centre.
    data_centre: str
    #: Requests that it processes at once.
    slots: int
    #: What it said last.
    state: SearcherState
    #: Milliseconds that it stayed cold when it said so.
    cold_left_ms: float
    #: Unix milliseconds of its start; a larger value is a new process.
    born: int
    #: Number of its announcement; grows within one process.
    sequence: int

    @property
    def process(self) -> tuple[str, int]:
        """Return what tells this process from an earlier one of the id."""
        return self.searcher_id, self.born


@dataclasses.dataclass(frozen=True)
class Catalogue:
    """One version of the operators' configuration."""

    #: Version; grows in uneven steps.
    version: int
    #: Routes by host, longest prefix first.
    routes_by_host: Mapping[str, tuple[Route, ...]]
    #: Services by name.
    services_by_name: Mapping[str, ServiceConfig]
    #: Workspaces by name.
    workspaces_by_name: Mapping[str, WorkspaceConfig]
    #: Names of workspaces by key.
    workspace_name_by_key: Mapping[str, str]
    #: Limits of callers' requests.
    limits: FrontLimits

    @property
    def needs_keys(self) -> bool:
        """Return whether routes that are not public need a key."""
        return bool(self.workspaces_by_name)


def find_route(catalogue: Catalogue, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that begins `path`."""
    for route in catalogue.routes_by_host.get(host.lower(), ()):
        if path.startswith(route.prefix):
            return route
    return None
