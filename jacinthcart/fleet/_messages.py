"""Messages of the membership protocol."""

import dataclasses
import enum
import types
from typing import Any

import pydantic

from jacinthcart.errors import InvalidMessageError
from jacinthcart.readings import Position

#: Maximum length of an address or of the name of a data centre.
_MAX_ID_CHARACTERS = 64


class MemberState(enum.StrEnum):
    """State of a member; within an incarnation a later state wins."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'


#: Codes of the states in datagrams.
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
    """Identity, state and capacity of one VM."""

    model_config = pydantic.ConfigDict(frozen=True)

    #: IP address; ports are the same on all VMs.
    address: str = pydantic.Field(max_length=_MAX_ID_CHARACTERS)
    data_centre: str = pydantic.Field(max_length=_MAX_ID_CHARACTERS)
    #: Increases with each start and each refuted suspicion.
    incarnation: int = pydantic.Field(ge=0)
    state: MemberState
    #: Capacity for callers' requests in cores, capped by the bandwidth of the
    #: VM's link.
    capacity: float = pydantic.Field(default=1.0, ge=0)

    def pack(self) -> list[Any]:
        """Return the list form that is used in datagrams."""
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

    The wire form is a list, to save bytes: traffic between data centres is
    charged.
    """

    #: `ping` or `ack`.
    kind: str
    #: Sequence number of the ping.
    seq: int
    #: Record of the sender.
    sender: MemberRecord
    #: Highest position in the sender's copy of the store.
    newest: Position
    #: Position up to which the sender's copy has every change.
    complete_to: Position
    #: Age of the sender's freshness proof in seconds; None without one.
    age_s: float | None
    #: Digest of the contents that the proof covers; None from VMs of a release
    #: without digests.
    digest: str | None
    #: In a ping that requests the receiver's list, the description of the
    #: sender's list (see MemberLog.describe); in the answer to it, a digest of
    #: the answering VM's description; otherwise None.
    described: str | None
    #: Requested records in an answer, otherwise recently changed ones.
    records: tuple[MemberRecord, ...]

    def to_message(self) -> dict[str, Any]:
        """Return the wire form."""
        message: dict[str, Any] = {
            'kind': self.kind,
            'b': [
                self.seq,
                self.sender.pack(),
                self.newest.revision,
                self.age_s,
                self.described,
                [record.pack() for record in self.records],
            ],
        }
        if self.newest.era:
            message[_ERA] = self.newest.era
        if self.digest is not None:
            message[_DIGEST] = self.digest
        if self.complete_to != self.newest:
            message[_COMPLETE_TO] = self.complete_to.revision
        if self.complete_to.era != self.newest.era:
            message[_COMPLETE_ERA] = self.complete_to.era
        return message


#: Key of the revision of `complete_to` in a message. It is absent if all
#: changes up to the newest are present, which is so most of the time.
_COMPLETE_TO = 'c'
#: Key of the era of the newest position; absent for 0, and in messages of VMs
#: of a release without eras.
_ERA = 'e'
#: Key of the digest of the contents that the proof covers.
_DIGEST = 'd'
#: Key of the era of `complete_to`; absent if it is that of the newest position.
_COMPLETE_ERA = 'f'


class _Body(pydantic.BaseModel):
    """Fields of a message."""

    seq: int
    sender: list[Any]
    revision: int = pydantic.Field(ge=0)
    age_s: float | None
    described: str | None
    records: list[list[Any]]
    complete_to: int = pydantic.Field(ge=0)
    era: int = pydantic.Field(ge=0)
    complete_era: int = pydantic.Field(ge=0)
    digest: str | None


#: Fields of the list in a message, in order.
_LISTED_FIELDS = ('seq', 'sender', 'revision', 'age_s', 'described', 'records')


def decode_fleet_message(message: dict[str, Any]) -> FleetMessage:
    """Decode a ping or acknowledgement; raise InvalidMessageError."""
    try:
        body = _decode_body(message)
    except (ValueError, TypeError) as error:
        raise InvalidMessageError(
            f'malformed membership message: {error}'
        ) from error
    return FleetMessage(
        kind=str(message.get('kind')),
        seq=body.seq,
        sender=unpack_record(body.sender),
        newest=Position(body.era, body.revision),
        complete_to=Position(body.complete_era, body.complete_to),
        age_s=body.age_s,
        digest=body.digest,
        described=body.described,
        records=tuple(unpack_record(record) for record in body.records),
    )


def _decode_body(message: dict[str, Any]) -> _Body:
    named = dict(zip(_LISTED_FIELDS, message.get('b', ()), strict=True))
    named['complete_to'] = message.get(_COMPLETE_TO, named['revision'])
    named['era'] = message.get(_ERA, 0)
    named['digest'] = message.get(_DIGEST)
    named['complete_era'] = message.get(_COMPLETE_ERA, named['era'])
    return _Body.model_validate(named)


def unpack_record(fields: list[Any]) -> MemberRecord:
    """Decode the list form of a record; raise InvalidMessageError."""
    try:
        record = dict(zip(_RECORD_FIELDS, fields, strict=True))
        record['state'] = _STATE_BY_CODE[record['state']]
        return MemberRecord.model_validate(record)
    except (ValueError, TypeError, LookupError) as error:
        raise InvalidMessageError(
            f'malformed member record: {error}'
        ) from error
