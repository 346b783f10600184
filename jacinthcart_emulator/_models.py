"""Files and fault messages of the emulators."""

import pydantic


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid')


class SearcherSpec(_Model):
    """One emulated searcher."""

    id: str
    address: str
    port: int
    shards: tuple[int, ...]
    versions: tuple[int, ...] = (1,)
    partition_map: int = 1
    slots: int = 2
    queue_limit: int = 50
    connection_limit: int = 25
    #: Time a new connection costs, in milliseconds.
    connect_ms: float = 0
    #: Median time of one request, in milliseconds.
    service_ms: float = 5
    #: Standard deviation of the logarithm of the request time.
    service_spread: float = 0.2
    cold: bool = False
    cold_allowance: int = 1
    #: Requests after which a cold searcher is warm.
    warm_after_requests: int = 20


class SearchersFile(_Model):
    """What one searcher process emulates; `seed` makes times repeatable."""

    control_address: str
    control_port: int
    seed: int = 1
    searchers: tuple[SearcherSpec, ...]


class SearcherFault(_Model):
    """A change of one searcher's behaviour; None leaves a field as it is.

    Fractions are shares of the answers, times are in milliseconds.
    """

    searcher: str
    straggle_fraction: float | None = None
    straggle_factor: float | None = None
    truncate_fraction: float | None = None
    cross_fraction: float | None = None
    wrong_version_fraction: float | None = None
    missing_shard_fraction: float | None = None
    stall: bool | None = None
    refuse_connections: bool | None = None
    draining: bool | None = None
    #: Turn cold; the generation stays unless `new_generation`.
    cold: bool | None = None
    new_generation: bool = False
    #: Report state `warm` while cold.
    hide_state: bool | None = None
    versions: tuple[int, ...] | None = None
    shards: tuple[int, ...] | None = None
    partition_map: int | None = None


class ConfigPut(_Model):
    """An operator's change: values by path, None deletes."""

    values: dict[str, object]


class ConfigFault(_Model):
    """A change of the configuration service's behaviour."""

    #: Refuse every read.
    down: bool | None = None
    #: Answer reads as of this revision; -1 ends it.
    stale_at: int | None = None
    #: Forget every change above this revision.
    restart_at: int | None = None
    #: Seconds by which the VM list lags.
    vm_list_lag_s: float | None = None
    #: New content of the VM list.
    vms: dict[str, str] | None = None
