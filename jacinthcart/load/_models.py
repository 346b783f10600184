"""The experiment file: what is sent, to whom, when and for how long."""

import pathlib
from typing import Self

import pydantic

from jacinthcart.settings import RequestClass, RouteKind

MAX_DURATION_S = 86400
MAX_REQUESTS = 10_000_000


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class EntryAddress(_Model):
    """Where the entry of one VM listens."""

    address: pydantic.IPvAnyAddress
    port: int = pydantic.Field(ge=1, le=65535)


class RouteLoad(_Model):
    """A route of a workspace and its share of the workspace's arrivals."""

    route: str = pydantic.Field(pattern='^[^/]+/[^/]+$')
    kind: RouteKind
    request_class: RequestClass
    weight: float = pydantic.Field(default=1, gt=0)
    deadline_ms: int = pydantic.Field(default=2000, ge=1)


class WorkspaceLoad(_Model):
    """One workspace: its key, its share of the arrivals and its routes."""

    workspace: str = pydantic.Field(pattern='^[^/]+/[^/]+$')
    #: Name of the environment variable that holds the key.
    key_environment: str | None = None
    #: File that holds the key.
    key_file: pathlib.Path | None = None
    weight: float = pydantic.Field(default=1, gt=0)
    #: Send every request to this entry; None follows the addresses answers.
    pinned_entry: EntryAddress | None = None
    routes: tuple[RouteLoad, ...] = pydantic.Field(min_length=1)
    #: Fleet-wide limit that the answers are checked against.
    rate: float | None = pydantic.Field(default=None, gt=0)
    burst: float | None = pydantic.Field(default=None, gt=0)

    @pydantic.model_validator(mode='after')
    def _check_pairs(self) -> Self:
        if self.key_environment and self.key_file:
            raise ValueError('give the key by environment or file, not both')
        if (self.rate is None) != (self.burst is None):
            raise ValueError('give rate and burst together')
        return self


class Bursts(_Model):
    """Groups of requests that arrive at once, besides the steady ones."""

    every_s: float = pydantic.Field(gt=0)
    size: int = pydantic.Field(ge=1)


class Phase(_Model):
    """A time of the run with its own rate."""

    name: str
    duration_s: float = pydantic.Field(gt=0, le=MAX_DURATION_S)
    #: Factor on the rate of all workspaces.
    factor: float = pydantic.Field(default=1, ge=0)
    #: Further factors on the rates of single workspaces.
    factor_by_workspace: dict[str, float] = {}
    bursts: Bursts | None = None


class Experiment(_Model):
    """A run of `jacinthcart-load`."""

    name: str
    seed: int = 1
    #: Entries that are asked for addresses.
    entries: tuple[EntryAddress, ...] = pydantic.Field(min_length=1)
    workspaces: tuple[WorkspaceLoad, ...] = pydantic.Field(min_length=1)
    #: Mean arrivals a second of all workspaces together.
    rate_per_s: float = pydantic.Field(gt=0)
    #: Exponent that makes the first workspaces larger; 0 leaves the weights.
    skew: float = pydantic.Field(default=0, ge=0)
    phases: tuple[Phase, ...] = pydantic.Field(min_length=1)
    max_requests: int = pydantic.Field(default=100_000, ge=1, le=MAX_REQUESTS)
    #: Requests beyond this number in flight are recorded as not sent.
    max_in_flight: int = pydantic.Field(default=1000, ge=1)

    @property
    def duration_s(self) -> float:
        """Length of all phases in seconds."""
        return sum(phase.duration_s for phase in self.phases)
