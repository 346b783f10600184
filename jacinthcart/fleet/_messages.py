"""Messages that VMs exchange about each other."""

import dataclasses
import enum
import types
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


#: Short forms of the states in datagrams.
_CODE_BY_STATE = types.MappingProxyType(
    {
        MemberState.ALIVE: 0,
        MemberState.SUSPECT: 1,
        MemberState.LEAVING: 2,
    },
)
_STATE_BY_CODE = types.MappingProxyType(
    {code: state for state, code in _CODE_BY_STATE.items()},
)


_RECORD_FIELDS = ('address', 'data_centre', 'incarnation', 'state', 'capacity')


class MemberRecord(pydantic.BaseModel):
    """One VM as its peers know it."""

    model_config = pydantic.ConfigDict(frozen=True)

    #: IP address; ports are the same on all VMs.
    address: str = pydantic.Field(max_length=_MAX_ID_CHARACTERS)
    #: Data centre.
    data_centre: str = pydantic.Field(max_length=_MAX_ID_CHARACTERS)
    #: Grows with each start and each refuted suspicion.
    incarnation: int = pydantic.Field(ge=0)
    state: MemberState
    #: Relative share of callers that the VM can serve.
    capacity: float = pydantic.Field(default=1.0, ge=0)

    def pack(self) -> list[Any]:
        """Return the short form for datagrams."""
        return [
            self.address,
            self.data_centre,
            self.incarnation,
            _CODE_BY_STATE[self.state],
            self.capacity,
        ]


@dataclasses.dataclass(frozen=True)
class FleetMessage:
    """A ping or its acknowledgement.

    Datagrams between data centres are priced, so the wire form is a list.
    """

    #: `ping` or `ack`.
    kind: str
    #: Number of the ping.
    seq: int
    #: The sender.
    sender: MemberRecord
    #: Newest revision in the sender's table of readings.
    revision: int
    #: Age in seconds of the sender's proof; None without one.
    age_s: float | None
    #: In a ping that asks for the receiver's list a description of the
    #: sender's, in the answer a digest of the description; None otherwise.
    described: str | None
    #: Records that were wanted, else those that changed lately.
    records: tuple[MemberRecord, ...]

    def to_message(self) -> dict[str, Any]:
        """Return the form on the wire."""
        return {
            'kind': self.kind,
            'b': [
                self.seq,
                self.sender.pack(),
                self.revision,
                self.age_s,
                self.described,
                [record.pack() for record in self.records],
            ],
        }


class _Body(pydantic.BaseModel):
    """The list on the wire, by name."""

    seq: int
    sender: list[Any]
    revision: int
    age_s: float | None
    described: str | None
    records: list[list[Any]]


def decode_fleet_message(message: dict[str, Any]) -> FleetMessage:
    """Read a ping or acknowledgement; raise InvalidMessageError."""
    try:
        named = zip(_Body.model_fields, message.get('b', ()), strict=True)
        body = _Body.model_validate(dict(named))
    except (ValueError, TypeError) as error:
        raise InvalidMessageError(f'malformed message: {error}') from error
    return FleetMessage(
        kind=str(message.get('kind')),
        seq=body.seq,
        sender=unpack_record(body.sender),
        revision=body.revision,
        age_s=body.age_s,
        described=body.described,
        records=tuple(unpack_record(record) for record in body.records),
    )


def unpack_record(fields: list[Any]) -> MemberRecord:
    """Read the short form; raise InvalidMessageError."""
    try:
        record = dict(zip(_RECORD_FIELDS, fields, strict=True))
        record['state'] = _STATE_BY_CODE[record['state']]
        return MemberRecord.model_validate(record)
    except (ValueError, TypeError, LookupError) as error:
        raise InvalidMessageError(f'malformed record: {error}') from error
