"""Sends the requests of an experiment at their scheduled times."""

import random
from collections.abc import Mapping

import anyio

from jacinthcart.caller import (
    Address,
    Answer,
    Caller,
    CallerError,
    DeadlineError,
    InvalidAnswerError,
    OutcomeLostError,
    RefusedError,
    UnreachableError,
)
from jacinthcart.load._arrivals import Arrival, create_arrivals
from jacinthcart.load._models import Experiment, WorkspaceLoad
from jacinthcart.load._results import ANSWERED, NOT_SENT, RequestResult
from jacinthcart.load._transport import (
    Attempt,
    RecordingTransport,
    current_attempts,
)
from jacinthcart.program import Clock
from jacinthcart.settings import RouteKind

_OUTCOME_BY_ERROR: tuple[tuple[type[CallerError], str], ...] = (
    (UnreachableError, 'unreachable'),
    (DeadlineError, 'deadline'),
    (OutcomeLostError, 'outcome_lost'),
    (InvalidAnswerError, 'invalid_answer'),
)


def create_callers(
    experiment: Experiment,
    key_by_workspace: Mapping[str, str],
    clock: Clock,
) -> dict[str, Caller]:
    """Return a reference caller for each workspace."""
    return {
        load.workspace: _create_caller(
            experiment,
            load,
            key_by_workspace.get(load.workspace),
            clock,
        )
        for load in experiment.workspaces
    }


class LoadRun:
    """One run of an experiment.

    It ends when the duration has passed and every request has an outcome.
    """

    def __init__(
        self,
        experiment: Experiment,
        callers: Mapping[str, Caller],
        clock: Clock,
    ) -> None:
        """Create a run; closing `callers` is left to their owner."""
        self.results: list[RequestResult] = []
        self._experiment = experiment
        self._callers = callers
        self._clock = clock
        self._in_flight = 0
        self._started_at = 0.0

    async def run(self) -> list[RequestResult]:
        """Send all requests on schedule; return the results in order.

        A slow answer does not delay later requests.
        """
        self._started_at = self._clock()
        async with anyio.create_task_group() as tasks:
            for arrival in create_arrivals(self._experiment):
                await anyio.sleep(max(0, arrival.at_s - self._now()))
                if self._in_flight >= self._experiment.max_in_flight:
                    self._record_not_sent(arrival)
                    continue
                self._in_flight += 1
                tasks.start_soon(self._send, arrival)
            remaining_s = self._experiment.duration_s - self._now()
            await anyio.sleep(max(0, remaining_s))
        self.results.sort(key=lambda result: result.arrival.number)
        return self.results

    async def _send(self, arrival: Arrival) -> None:
        attempts: list[Attempt] = []
        current_attempts.set(attempts)
        sent_s = self._now()
        answer: Answer | None = None
        outcome = ANSWERED
        ran = ''
        try:
            answer = await self._call_route(arrival)
        except CallerError as error:
            outcome = _classify_error(error)
            ran = str(error.ran)
        finally:
            self._in_flight -= 1
        self.results.append(
            RequestResult(
                arrival,
                sent_s,
                self._now(),
                outcome,
                ran,
                tuple(attempts),
                answer,
            ),
        )

    async def _call_route(self, arrival: Arrival) -> Answer:
        caller = self._callers[arrival.workspace.workspace]
        methods = {
            RouteKind.SEARCH: caller.search,
            RouteKind.LOOKUP: caller.lookup,
        }
        send = methods.get(arrival.route.kind, caller.submit)
        return await send(
            arrival.route.route,
            arrival.query,
            arrival.route.deadline_ms,
        )

    def _record_not_sent(self, arrival: Arrival) -> None:
        now = self._now()
        self.results.append(
            RequestResult(arrival, now, now, NOT_SENT, 'not_run', (), None),
        )

    def _now(self) -> float:
        return self._clock() - self._started_at


def _create_caller(
    experiment: Experiment,
    load: WorkspaceLoad,
    key: str | None,
    clock: Clock,
) -> Caller:
    seeds = [
        Address(str(entry.address), entry.port) for entry in experiment.entries
    ]
    return Caller(
        seeds,
        key,
        clock,
        # Request ids must differ between runs with equal seeds, as a fleet
        # records the ids of submits and refuses duplicates.
        random.SystemRandom(),
        workspace=load.workspace,
        transport=RecordingTransport(load.pinned_entry),
    )


def _classify_error(error: CallerError) -> str:
    if isinstance(error, RefusedError):
        return str(error.code)
    for kind, name in _OUTCOME_BY_ERROR:
        if isinstance(error, kind):
            return name
    return 'failed'
