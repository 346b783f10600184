"""What became of each request, as JSON lines."""

import dataclasses
import pathlib
from collections.abc import Iterable
from typing import Any

from jacinthcart.caller import Answer
from jacinthcart.load._arrivals import Arrival
from jacinthcart.load._transport import Attempt
from jacinthcart.wire import encode_json

ANSWERED = 'answered'
NOT_SENT = 'not_sent'


@dataclasses.dataclass(frozen=True)
class RequestResult:
    """One request; times are seconds after the start of the run."""

    #: The intended request.
    arrival: Arrival
    #: When the caller began to send it.
    sent_s: float
    #: When its outcome was known.
    received_s: float
    #: `answered`, a refusal code, or the kind of failure.
    outcome: str
    #: Whether a request without answer may have run; empty when answered.
    ran: str
    #: Replies of entries, those included that the caller retried after.
    attempts: tuple[Attempt, ...]
    #: The answer, None without one.
    answer: Answer | None

    @property
    def latency_s(self) -> float:
        """Time from the intended start, so that late sending counts."""
        return self.received_s - self.arrival.at_s

    def to_message(self) -> dict[str, Any]:
        """Return the JSON form, without key, query and hits."""
        message: dict[str, Any] = {
            'number': self.arrival.number,
            'phase': self.arrival.phase,
            'workspace': self.arrival.workspace.workspace,
            'route': self.arrival.route.route,
            'request_class': self.arrival.route.request_class,
            'at_s': self.arrival.at_s,
            'sent_s': self.sent_s,
            'received_s': self.received_s,
            'outcome': self.outcome,
            'ran': self.ran,
            'attempts': [dataclasses.astuple(one) for one in self.attempts],
        }
        if self.answer is not None:
            message['request_id'] = self.answer.request_id
            message['snapshot'] = dataclasses.asdict(self.answer.snapshot)
            message['coverage'] = dataclasses.asdict(self.answer.coverage)
        return message


def write_results(
    path: pathlib.Path,
    results: Iterable[RequestResult],
) -> None:
    """Write one JSON line for each request."""
    with path.open('wb') as file:
        for entry in results:
            file.write(encode_json(entry.to_message()))
            file.write(b'\n')
