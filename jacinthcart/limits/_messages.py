"""Messages about permits and tokens.

They are exchanged between entry and control, and between control processes.
"""

from typing import Any, Literal, TypeVar

import pydantic

from jacinthcart.errors import InvalidMessageError

#: Upper bound for a plausible count; no workspace has that many permits.
_MAX_COUNT = 10_000_000

_MessageModel = TypeVar('_MessageModel', bound='Message')


class Message(pydantic.BaseModel):
    """Base class of the messages; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class GrantedPermits(Message):
    """Permits of one workspace granted to another process."""

    count: int = pydantic.Field(ge=0, le=_MAX_COUNT)
    lifetime_ms: float = pydantic.Field(ge=0)


class PermitsRequest(Message):
    """Body of `POST /v1/permits`: requested permits by workspace id."""

    counts: dict[str, pydantic.NonNegativeInt]


class PermitsResponse(Message):
    """Response body of `POST /v1/permits`."""

    granted: dict[str, GrantedPermits]
    retry_after_ms: dict[str, pydantic.NonNegativeInt]


class BorrowMessage(Message):
    """Datagram that requests tokens from an owner."""

    kind: Literal['borrow'] = 'borrow'
    vm: str
    seq: int
    counts: dict[str, pydantic.NonNegativeInt]


class LendMessage(Message):
    """Datagram that answers the `borrow` datagram with the same `seq`."""

    kind: Literal['lend'] = 'lend'
    vm: str
    seq: int
    granted: dict[str, GrantedPermits]


def parse_message(model: type[_MessageModel], message: Any) -> _MessageModel:
    """Validate a message; raise InvalidMessageError if it is invalid."""
    try:
        return model.model_validate(message)
    except pydantic.ValidationError as error:
        raise InvalidMessageError(
            f'{model.__name__}: {error.error_count()} invalid fields',
        ) from error
