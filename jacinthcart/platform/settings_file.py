"""Decodes the platform's settings file of one process."""

import os
import pathlib
from typing import Any

import pydantic

from jacinthcart.errors import InvalidMessageError, SettingsError
from jacinthcart.network import Endpoint, parse_endpoint
from jacinthcart.node import NodeBounds, NodeSettings
from jacinthcart.overload import OverloadMode
from jacinthcart.wire import decode_json

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'JACINTHCART_CONFIG'
_MS_PER_S = 1000
_BYTES_PER_MB = 1_000_000


class _ListenAddresses(pydantic.BaseModel):
    frontend_addr: str
    ready: str
    control: str | None = None
    directory: str


class _Bounds(pydantic.BaseModel):
    """Bounds set by the platform; the suffix names the unit of a time."""

    grace_s: float = pydantic.Field(default=6, gt=0)
    drain_ms: float = pydantic.Field(default=3000, gt=0)
    config_apply_ms: float = pydantic.Field(default=3000, gt=0)
    revoke_ms: float = pydantic.Field(default=5000, gt=0)
    retry_budget_ratio: float = pydantic.Field(default=0.2, ge=0)
    budget_window_s: float = pydantic.Field(default=10, gt=0)
    budget_slack: float = pydantic.Field(default=20, ge=0)
    warmup_overage: float = pydantic.Field(default=1.5, ge=1)
    ttl_max_s: float = pydantic.Field(default=5, gt=0)


class _Platform(pydantic.BaseModel):
    #: Address and port of the platform's store.
    address: str


class _Limits(pydantic.BaseModel):
    cpu_share: float = 1
    cores: float = 1
    link_mbps: float = 1000
    memory_mb: float = pydantic.Field(default=200, gt=0)


class _PlatformFields(pydantic.BaseModel):
    """The fields set by the platform; those not listed are ignored."""

    node_name: str
    ip: str
    zone: str
    listen_addrs: _ListenAddresses
    port_range: tuple[int, int]
    seeds: list[str] = []
    bounds: _Bounds = _Bounds()
    platform: _Platform
    limits: _Limits = _Limits()


class _SettingsFile(pydantic.BaseModel):
    """The file rendered from the template `deploy/settings.json`."""

    #: Port for metrics; None to disable it.
    metrics_port: int | None = pydantic.Field(default=None, ge=1, le=65535)
    #: What to do with queries while searchers lack capacity.
    overload_control: OverloadMode = OverloadMode.OFF
    platform_fields: _PlatformFields


def load_settings(path: pathlib.Path | None = None) -> NodeSettings:
    """Read the settings of this process; raise SettingsError.

    Without `path`, the environment variable names the file.
    """
    settings_path = path or pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ''))
    try:
        fields = decode_json(settings_path.read_bytes())
    except (OSError, InvalidMessageError) as error:
        raise SettingsError(str(settings_path), str(error)) from error
    return decode_settings(fields)


def decode_settings(fields: Any) -> NodeSettings:
    """Decode settings; raise SettingsError."""
    try:
        file = _SettingsFile.model_validate(fields)
    except pydantic.ValidationError as error:
        raise list_violations(error)[0] from error
    decoded = file.platform_fields
    addresses = decoded.listen_addrs
    control = decode_endpoint(addresses.control) if addresses.control else None
    return NodeSettings(
        vm_id=decoded.node_name,
        address=decoded.ip,
        data_centre=decoded.zone,
        callers=decode_endpoint(addresses.frontend_addr),
        readiness=decode_endpoint(addresses.ready),
        directory=decode_endpoint(addresses.directory),
        operators=control,
        metrics=_create_metrics_endpoint(decoded.ip, file.metrics_port),
        peer_port=decoded.port_range[0],
        seeds=tuple(decode_endpoint(seed).address for seed in decoded.seeds),
        store=decode_endpoint(decoded.platform.address),
        cores=decoded.limits.cpu_share * decoded.limits.cores,
        link_mbps=decoded.limits.link_mbps,
        memory_bytes=int(decoded.limits.memory_mb * _BYTES_PER_MB),
        bounds=_decode_bounds(decoded.bounds),
        overload_mode=file.overload_control,
    )


def list_violations(error: pydantic.ValidationError) -> list[SettingsError]:
    """Return each violation with its location and the value found."""
    return [
        SettingsError(
            '.'.join(str(part) for part in one['loc']),
            f'{one["msg"]}, found {one["input"]!r}',
        )
        for one in error.errors()
    ]


def decode_endpoint(text: str) -> Endpoint:
    """Parse `address:port`; raise SettingsError."""
    try:
        return parse_endpoint(text)
    except ValueError as error:
        raise SettingsError(text, 'must be address:port') from error


def _create_metrics_endpoint(address: str, port: int | None) -> Endpoint | None:
    return None if port is None else Endpoint(address=address, port=port)


def _decode_bounds(bounds: _Bounds) -> NodeBounds:
    return NodeBounds(
        stop_s=bounds.grace_s,
        settings_s=bounds.config_apply_ms / _MS_PER_S,
        key_s=bounds.revoke_ms / _MS_PER_S,
        extra_ratio=bounds.retry_budget_ratio,
        extra_slack=bounds.budget_slack,
        extra_window_s=bounds.budget_window_s,
        directory_ttl_s=bounds.ttl_max_s,
    )
