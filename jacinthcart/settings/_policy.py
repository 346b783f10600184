"""Fleet-wide policy: the parameters of all automatic behaviour."""

import pydantic

from jacinthcart.network import SettingsModel


def _float_field(default: float, low: float, high: float, text: str) -> float:
    return pydantic.Field(
        default=default,
        ge=low,
        le=high,
        description=text,
    )


def _int_field(default: int, low: int, high: int, text: str) -> int:
    return pydantic.Field(
        default=default,
        ge=low,
        le=high,
        description=text,
    )


class Policy(SettingsModel):
    """`fleet/policy`: parameters of the automatic behaviour of the fleet."""

    log_level: str = pydantic.Field(
        default='INFO',
        pattern='^(DEBUG|INFO|NOTICE|WARNING|ERROR)$',
        description='lowest level that is logged',
    )
    serving_lease_ms: int = _int_field(
        2000,
        200,
        60000,
        'time entry and gather keep serving without contact to control',
    )
    isolation_ms: int = _int_field(
        2500, 500, 60000, 'time without contact after which a VM stops serving'
    )
    watch_calls_per_s: float = _float_field(
        100, 1, 2000, 'watch calls per second of the whole fleet'
    )
    handover_seconds: float = _float_field(
        30,
        1,
        3600,
        'wait before ownership gained by a roster change takes effect',
    )
    heartbeat_interval_ms: int = _int_field(
        1000, 50, 10000, 'time between heartbeats to one peer'
    )
    heartbeat_peers: int = _int_field(
        8, 1, 64, 'peers that a VM sends heartbeats to'
    )
    share_spread: int = _int_field(
        8, 1, 64, 'VMs that the rate limit of one workspace is divided among'
    )
    lending_enabled: bool = pydantic.Field(
        default=True,
        description='whether VMs lend rate-limit tokens to each other',
    )
    permit_lifetime_ms: int = _int_field(
        250, 10, 5000, 'longest time between issue and use of a permit'
    )
    permit_batch_ms: int = _int_field(
        50,
        0,
        1000,
        'time span of expected demand that an entry requests permits for',
    )
    borrow_interval_ms: int = _int_field(
        50, 5, 5000, 'time between two borrow rounds'
    )
    borrow_timeout_ms: int = _int_field(
        20, 1, 1000, 'maximum time a request waits for borrowed permits'
    )
    hedging_enabled: bool = pydantic.Field(
        default=True,
        description='whether slow idempotent requests are hedged',
    )
    hedge_quantile: float = _float_field(
        0.95, 0.5, 0.999, 'latency quantile after which a hedge is sent'
    )
    hedge_budget: float = _float_field(
        0.05, 0, 1, 'maximum ratio of hedges to searcher requests'
    )
    retry_budget: float = _float_field(
        0.1, 0, 1, 'maximum ratio of retries to searcher requests'
    )
    merge_margin_ms: int = _int_field(
        10, 0, 1000, 'time reserved before the deadline for merging'
    )
    ramp_step_ms: int = _int_field(
        1000, 10, 600000, 'time between two steps of a warm-up ramp'
    )
    evidence_max_age_ms: int = _int_field(
        1000, 10, 60000, 'maximum age of a response that proves a searcher warm'
    )
    connect_rate_per_s: float = _float_field(
        50, 1, 10000, 'new searcher connections per second from one VM'
    )
    queue_limit: int = _int_field(
        200, 1, 100000, 'requests queued for one searcher on one VM'
    )
    processor_wait_share: float = _float_field(
        0.5,
        0.01,
        1,
        'fraction of its deadline that a query may wait for the CPU',
    )
    drain_announce_ms: int = _int_field(
        1000, 0, 60000, 'time a leaving VM keeps accepting requests'
    )
    drain_limit_ms: int = _int_field(
        10000, 100, 600000, 'maximum time of a graceful shutdown'
    )
    addresses_keep_ms: int = _int_field(
        5000, 100, 600000, 'time callers may cache an addresses answer'
    )
    request_id_ttl_s: float = _float_field(
        600, 1, 86400, 'time the id of a non-idempotent request is remembered'
    )
    automatic_changes_frozen: bool = pydantic.Field(
        default=False,
        description='disables hedges, warm-up ramps and setting searchers aside',
    )
