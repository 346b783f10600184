"""Heartbeat datagrams between control processes."""

import dataclasses
from typing import Any

import pydantic

from jacinthcart.errors import InvalidMessageError


class MemberState(pydantic.BaseModel):
    """State that a VM reports in a heartbeat or acknowledgement."""

    model_config = pydantic.ConfigDict(frozen=True)

    vm: str = pydantic.Field(max_length=64)
    #: Random id that its control process chose at start.
    incarnation: str = pydantic.Field(max_length=64)
    #: Settings revision that it holds.
    revision: int = pydantic.Field(ge=0)
    #: Whether a graceful shutdown has been announced.
    leaving: bool
    #: Whether callers should be directed to it.
    ready: bool
    #: Digest of its warm table.
    warm_digest: str = pydantic.Field(max_length=64)


class Heartbeat(MemberState):
    """Requests an acknowledgement from a peer."""

    seq: int


class HeartbeatAck(MemberState):
    """Acknowledges the heartbeat with the same `seq`."""

    seq: int
    #: Milliseconds since the newest service contact known to the VM.
    service_age_ms: float | None = pydantic.Field(default=None, ge=0)
    #: Digest of the roster that defines the order of `ages`.
    roster: str = ''
    #: Length in milliseconds of one step in `ages`.
    age_step_ms: float = pydantic.Field(default=0, ge=0)
    #: Packed ages of the VMs confirmed to the sender; empty if too long.
    ages: str = ''


@dataclasses.dataclass(frozen=True)
class Member:
    """A VM that sent a heartbeat or acknowledgement."""

    #: State that it reported last.
    state: MemberState
    #: Time in seconds at which its last message arrived.
    last_seen_at: float


def decode_heartbeat(message: dict[str, Any]) -> Heartbeat:
    """Validate a heartbeat; raise InvalidMessageError if malformed."""
    try:
        return Heartbeat.model_validate(message)
    except pydantic.ValidationError as error:
        raise InvalidMessageError(f'heartbeat: {error}') from error


def decode_heartbeat_ack(message: dict[str, Any]) -> HeartbeatAck:
    """Validate an acknowledgement; raise InvalidMessageError if malformed."""
    try:
        return HeartbeatAck.model_validate(message)
    except pydantic.ValidationError as error:
        raise InvalidMessageError(f'heartbeat_ack: {error}') from error
