"""Results of requests and their JSON Lines format."""

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
    """Result of one request; times are seconds after the run's start."""

    #: The scheduled request.
    arrival: Arrival
    #: Time at which the caller began to send the request.
    sent_s: float
    #: Time at which the answer arrived or the request failed.
    received_s: float
    #: `answered`, a refusal code or the kind of failure.
    outcome: str
    #: Whether an unanswered request may have run; empty when answered.
    ran: str
    #: Responses of entries, including those after which the caller retried.
    attempts: tuple[Attempt, ...]
    #: The answer; None for a failed request.
    answer: Answer | None

    @property
    def latency_s(self) -> float:
        """Time since the scheduled start; includes delays before sending."""
        return self.received_s - self.arrival.at_s

    def to_message(self) -> dict[str, Any]:
        """Return the result as a JSON object without key, query and hits."""
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
            'attempts': [
                dataclasses.astuple(attempt) for attempt in self.attempts
            ],
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
    """Write one line of JSON for each request."""
    with path.open('wb') as file:
        for result in results:
            file.write(encode_json(result.to_message()))
            file.write(b'\n')
