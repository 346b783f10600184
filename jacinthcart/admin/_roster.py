"""Parsing of endpoints and reading of roster and settings tree."""

import dataclasses
import pathlib
from typing import Any

import orjson
import pydantic

from jacinthcart.admin._errors import CommandError, ExitCode
from jacinthcart.errors import InvalidMessageError, WireError
from jacinthcart.network import parse_endpoint
from jacinthcart.settings import Endpoint, Roster, SettingsValue
from jacinthcart.sync import PlatformClient
from jacinthcart.telemetry import Metrics

ROSTER_PATH = 'fleet/roster'


@dataclasses.dataclass(frozen=True)
class SettingsTree:
    """Contents of the settings tree in the configuration service."""

    #: Revision of the newest change.
    revision: int
    #: Newest values by path.
    values_by_path: dict[str, SettingsValue]


def parse_bracketed_endpoint(text: str) -> Endpoint:
    """Parse `ADDRESS:PORT` or `[ADDRESS]:PORT`; raise ValueError."""
    return parse_endpoint(text.removeprefix('[').replace(']:', ':'))


def parse_endpoints(texts: list[str]) -> list[Endpoint]:
    """Parse a list of `ADDRESS:PORT`; raise ValueError."""
    return [parse_bracketed_endpoint(text) for text in texts]


def format_url(endpoint: Endpoint) -> str:
    """Return the base URL of an endpoint."""
    is_v6 = ':' in endpoint.address
    host = f'[{endpoint.address}]' if is_v6 else endpoint.address
    return f'http://{host}:{endpoint.port}'


async def read_settings_tree(service: Endpoint) -> SettingsTree:
    """Read the complete settings tree; raise CommandError."""
    client = PlatformClient(service, Metrics())
    try:
        changes = await client.watch(0, 0)
    except (WireError, InvalidMessageError) as error:
        raise CommandError(
            ExitCode.UNREACHABLE,
            f'configuration service: {error}',
        ) from error
    finally:
        await client.close()
    return SettingsTree(changes.revision, changes.values_by_path)


def read_json_file(path: pathlib.Path) -> Any:
    """Read a JSON file; raise CommandError."""
    try:
        return orjson.loads(path.read_bytes())
    except OSError as error:
        raise CommandError(
            ExitCode.INVALID,
            f'{path}: {error.strerror}',
        ) from error
    except orjson.JSONDecodeError as error:
        raise CommandError(ExitCode.INVALID, f'{path}: {error}') from error


def read_roster_file(path: pathlib.Path) -> Roster:
    """Read a file with the value of `fleet/roster`; raise CommandError."""
    return parse_roster(read_json_file(path))


def parse_roster(json_value: Any) -> Roster:
    """Validate the value of `fleet/roster`; raise CommandError."""
    try:
        return Roster.model_validate_json(orjson.dumps(json_value))
    except pydantic.ValidationError as error:
        raise CommandError(
            ExitCode.INVALID,
            f'{ROSTER_PATH}: {error}',
        ) from error
