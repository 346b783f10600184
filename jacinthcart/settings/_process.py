"""Settings file of a VM: its identity, addresses and seed peers."""

import pathlib

import pydantic

from jacinthcart.errors import SettingsError
from jacinthcart.network import Endpoint, IpAddress, Port, SettingsModel
from jacinthcart.settings._models import Name


class ProcessSettings(SettingsModel):
    """Settings that a process reads from a JSON file at startup.

    The three programs of one VM share the file.
    """

    vm_id: Name = pydantic.Field(
        description='id of the VM, its key in the roster',
    )
    data_centre: Name = pydantic.Field(
        description='data centre of the VM',
    )
    address: IpAddress = pydantic.Field(
        description='address that the three programs listen on',
    )
    entry_port: Port = pydantic.Field(
        description='TCP port for callers',
    )
    gather_port: Port = pydantic.Field(
        description='TCP port for entry and for gather on other VMs',
    )
    control_port: Port = pydantic.Field(
        description='TCP port and UDP port of control',
    )
    admin_port: Port = pydantic.Field(
        description='TCP port of the administration API',
    )
    admin_key_sha256: str = pydantic.Field(
        pattern='^[0-9a-f]{64}$',
        description='SHA-256 digest of the administration key',
    )
    config_service: Endpoint = pydantic.Field(
        description='configuration service and VM list of the platform',
    )
    seed_peers: tuple[Endpoint, ...] = pydantic.Field(
        default=(),
        description='control addresses of other VMs, contacted at startup',
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
