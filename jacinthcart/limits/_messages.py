"""Messages about permits between entry and control, and between controls."""

from typing import Any, Literal, TypeVar

import pydantic

from jacinthcart.errors import InvalidMessageError

#: More permits than a workspace can have at once.
_MAX_COUNT = 10_000_000

_MessageModel = TypeVar('_MessageModel', bound='Message')


class Message(pydantic.BaseModel):
    """Base of the messages; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class GrantedPermits(Message):
    """Permits of one workspace on their way to another process."""

    count: int = pydantic.Field(ge=0, le=_MAX_COUNT)
    lifetime_ms: float = pydantic.Field(ge=0)


class PermitsRequest(Message):
    """Body of `POST /v1/permits`: permits wanted by workspace id."""

    counts: dict[str, pydantic.NonNegativeInt]


class PermitsReply(Message):
    """Reply to `POST /v1/permits`."""

    granted: dict[str, GrantedPermits]
    retry_after_ms: dict[str, pydantic.NonNegativeInt]


class BorrowMessage(Message):
    """Datagram that asks an owner for tokens."""

    kind: Literal['borrow'] = 'borrow'
    vm: str
    seq: int
    counts: dict[str, pydantic.NonNegativeInt]


class LendMessage(Message):
    """Datagram that answers a `borrow` with the same `seq`."""

    kind: Literal['lend'] = 'lend'
    vm: str
    seq: int
    granted: dict[str, GrantedPermits]


def parse_message(model: type[_MessageModel], message: Any) -> _MessageModel:
    """Return the validated message; raise InvalidMessageError."""
    try:
        return model.model_validate(message)
    except pydantic.ValidationError as error:
        raise InvalidMessageError(
            f'{model.__name__}: {error.error_count()} invalid fields',
        ) from error
