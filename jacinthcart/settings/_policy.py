"""The fleet's policy: one setting for each automatic behaviour."""

import pydantic

from jacinthcart.network import SettingsModel


def _number(default: float, low: float, high: float, text: str) -> float:
    return pydantic.Field(
        default=default,
        ge=low,
        le=high,
        description=text,
    )


def _count(default: int, low: int, high: int, text: str) -> int:
    return pydantic.Field(
        default=default,
        ge=low,
        le=high,
        description=text,
    )


class Policy(SettingsModel):
    """`fleet/policy`: bounds of everything the system does by itself."""

    log_level: str = pydantic.Field(
        default='INFO',
        pattern='^(DEBUG|INFO|NOTICE|WARNING|ERROR)$',
        description='least severe level that is logged',
    )
    serving_lease_ms: int = _count(
        2000, 200, 60000, 'time entry and gather serve without control'
    )
    isolation_ms: int = _count(
        2500, 500, 60000, 'time without contact until a VM stops serving'
    )
    watch_calls_per_s: float = _number(
        100, 1, 2000, 'watch calls of the whole fleet, a second'
    )
    handover_seconds: float = _number(
        30, 1, 3600, 'wait before a right gained by a roster change is used'
    )
    heartbeat_interval_ms: int = _count(
        1000, 50, 10000, 'time between heartbeats to one peer'
    )
    heartbeat_peers: int = _count(
        8, 1, 64, 'peers that a VM sends heartbeats to'
    )
    share_spread: int = _count(
        8, 1, 64, 'VMs that own a share of one workspace rate'
    )
    lending_enabled: bool = pydantic.Field(
        default=True,
        description='whether VMs lend tokens to each other',
    )
    permit_lifetime_ms: int = _count(
        250, 10, 5000, 'longest time between issue and use of a permit'
    )
    permit_batch_ms: int = _count(
        50, 0, 1000, 'demand that an entry asks permits for in advance'
    )
    borrow_interval_ms: int = _count(
        50, 5, 5000, 'time between two rounds of borrowing'
    )
    borrow_timeout_ms: int = _count(
        20, 1, 1000, 'time a request waits for borrowed permits'
    )
    hedging_enabled: bool = pydantic.Field(
        default=True,
        description='whether slow idempotent requests are sent twice',
    )
    hedge_quantile: float = _number(
        0.95, 0.5, 0.999, 'latency quantile after which a hedge is sent'
    )
    hedge_budget: float = _number(
        0.05, 0, 1, 'hedges as a share of searcher requests'
    )
    retry_budget: float = _number(
        0.1, 0, 1, 'retries as a share of searcher requests'
    )
    merge_margin_ms: int = _count(
        10, 0, 1000, 'time kept before the deadline for merging'
    )
    ramp_step_ms: int = _count(
        1000, 10, 600000, 'time between two steps of a warming ramp'
    )
    evidence_max_age_ms: int = _count(
        1000, 10, 60000, 'age of an answer that still shows a warm searcher'
    )
    connect_rate_per_s: float = _number(
        50, 1, 10000, 'new searcher connections a second from one VM'
    )
    queue_limit: int = _count(
        200, 1, 100000, 'requests that wait for one searcher on one VM'
    )
    processor_wait_share: float = _number(
        0.5, 0.01, 1, 'part of a deadline that a query may wait for the core'
    )
    drain_announce_ms: int = _count(
        1000, 0, 60000, 'time a leaving VM still accepts requests'
    )
    drain_limit_ms: int = _count(
        10000, 100, 600000, 'longest time of a graceful shutdown'
    )
    addresses_keep_ms: int = _count(
        5000, 100, 600000, 'time callers may keep an addresses answer'
    )
    request_id_ttl_s: float = _number(
        600, 1, 86400, 'time a non-idempotent request id is remembered'
    )
    automatic_changes_frozen: bool = pydantic.Field(
        default=False,
        description='stops hedges, ramps and setting searchers aside',
    )
