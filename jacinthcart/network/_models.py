"""Validated addresses and the base class of settings models."""

import ipaddress
from typing import Annotated

import pydantic

Port = Annotated[int, pydantic.Field(ge=1, le=65535)]


def _check_ip_address(text: str) -> str:
    ipaddress.ip_address(text)
    return text


IpAddress = Annotated[str, pydantic.AfterValidator(_check_ip_address)]


class SettingsModel(pydantic.BaseModel):
    """Base class of settings models; unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Endpoint(SettingsModel):
    """An IP address and a TCP or UDP port."""

    address: IpAddress = pydantic.Field(description='IP address')
    port: Port = pydantic.Field(description='port')


def parse_endpoint(text: str) -> Endpoint:
    """Parse `ADDRESS:PORT`; raise ValueError."""
    address, separator, port = text.rpartition(':')
    if not separator:
        raise ValueError(f'{text!r} is not ADDRESS:PORT')
    return Endpoint(address=address, port=int(port))
