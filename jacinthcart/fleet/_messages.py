"""Messages that VMs exchange about each other."""

import enum
from typing import Any

import pydantic

from jacinthcart.errors import InvalidMessageError

#: Longest address of a member.
_MAX_ID_CHARACTERS = 64


class MemberState(enum.StrEnum):
    """What is known of a VM; a later state of one incarnation wins."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'


class MemberRecord(pydantic.BaseModel):
    """One VM as its peers know it."""

    model_config = pydantic.ConfigDict(frozen=True)

    #: IP address; ports are the same on all VMs.
    address: str = pydantic.Field(max_length=_MAX_ID_CHARACTERS)
    #: Data centre.
    zone: str = pydantic.Field(max_length=_MAX_ID_CHARACTERS)
    #: Grows with each start and each refuted suspicion.
    incarnation: int = pydantic.Field(ge=0)
    state: MemberState
    #: Relative share of callers that the VM can serve.
    capacity: float = pydantic.Field(default=1, ge=0)

    def pack(self) -> list[Any]:
        """Return the short form for datagrams."""
        return [
            self.address,
            self.zone,
            self.incarnation,
            self.state.value,
            self.capacity,
        ]


class FleetMessage(pydantic.BaseModel):
    """A ping or its acknowledgement."""

    #: `ping` or `ack`.
    kind: str
    #: Number of the ping.
    seq: int
    #: The sender.
    sender: list[Any]
    #: Incarnation of the sender's table of readings.
    table: int
    #: Serial number of the sender's table of readings.
    serial: int
    #: Age in seconds of the sender's proof; None without one.
    age_s: float | None = None
    #: Records that changed lately or that a new VM lacks.
    records: list[list[Any]] = []
    #: Whether the sender knows few members and wants all records.
    wants_all: bool = False


def decode_fleet_message(message: dict[str, Any]) -> FleetMessage:
    """Read a ping or acknowledgement; raise InvalidMessageError."""
    try:
        return FleetMessage.model_validate(message)
    except pydantic.ValidationError as error:
        raise InvalidMessageError(str(error)) from error


def unpack_record(fields: list[Any]) -> MemberRecord:
    """Read the short form; raise InvalidMessageError."""
    try:
        address, zone, incarnation, state, capacity = fields
        return MemberRecord(
            address=address,
            zone=zone,
            incarnation=incarnation,
            state=state,
            capacity=capacity,
        )
    except (ValueError, TypeError) as error:
        raise InvalidMessageError(f'malformed record: {error}') from error
