"""Settings file of one process: its identity, addresses and seeds."""

import pathlib

import pydantic

from jacinthcart.errors import SettingsError
from jacinthcart.settings._models import IpAddress, Name, Port, SettingsModel


class Endpoint(SettingsModel):
    """An address and a TCP or UDP port."""

    address: IpAddress
    port: Port


class ProcessSettings(SettingsModel):
    """What a process learns from its own JSON file at start.

    The same file serves the three programs of one VM.
    """

    vm_id: Name
    data_centre: Name
    address: IpAddress
    entry_port: Port
    gather_port: Port
    control_port: Port = pydantic.Field(
        description='TCP port of control; its datagrams use the same UDP port',
    )
    admin_port: Port
    admin_key_sha256: str = pydantic.Field(pattern='^[0-9a-f]{64}$')
    config_service: Endpoint
    seed_peers: tuple[Endpoint, ...] = pydantic.Field(
        default=(),
        description='control addresses of other VMs, asked at start',
    )


def load_process_settings(path: pathlib.Path) -> ProcessSettings:
    """Read and validate a process settings file.

    Raise SettingsError naming the file and the rule when it is missing or
    invalid.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        raise SettingsError(path.name, str(error.strerror)) from error
    try:
        return ProcessSettings.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise SettingsError(path.name, str(error)) from error
