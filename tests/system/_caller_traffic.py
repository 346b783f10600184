"""Request traffic of reference callers."""

import itertools
import random
import threading
from types import TracebackType
from typing import Any, Self

import anyio

from jacinthcart.caller import Answer, Caller, CallerError
from jacinthcart_lab._callers import create_caller
from tests.system._system import SEARCH, SUBMIT, WORKSPACE, System, wait_for

_CALLERS = 3
_MEAN_INTERVAL_S = 0.02
_DEADLINE_MS = 2000
_MIN_NEW_ANSWERS = 10


class CallerTraffic:
    """Searches and submits of reference callers until the context exits."""

    def __init__(self, system: System, seed: int) -> None:
        """Create the traffic; entering the context starts it."""
        self.answers: list[tuple[dict[str, Any], Answer]] = []
        self.errors: list[CallerError] = []
        self._system = system
        self._random = random.Random(seed)
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=anyio.run, args=[self._run])

    def __enter__(self) -> Self:
        """Start sending requests."""
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop sending requests and wait for those in flight."""
        self._stop_requested.set()
        self._thread.join()

    def wait_for_answers(self) -> None:
        """Wait until `_MIN_NEW_ANSWERS` more requests are answered."""
        expected = len(self.answers) + _MIN_NEW_ANSWERS
        wait_for(lambda: len(self.answers) >= expected, 'callers get answers')

    async def _run(self) -> None:
        async with anyio.create_task_group() as tasks:
            for _ in range(_CALLERS):
                seed = self._random.getrandbits(32)
                caller = create_caller(self._system.fleet, WORKSPACE, seed)
                tasks.start_soon(self._send_many, caller)

    async def _send_many(self, caller: Caller) -> None:
        for number in itertools.count():
            if self._stop_requested.is_set():
                break
            query = {'text': f'caller {number}', 'id': f'{number}'}
            try:
                answer = await self._send(caller, number, query)
            except CallerError as error:
                self.errors.append(error)
            else:
                self.answers.append((query, answer))
            await anyio.sleep(self._random.uniform(0, 2 * _MEAN_INTERVAL_S))
        await caller.close()

    async def _send(
        self,
        caller: Caller,
        number: int,
        query: dict[str, Any],
    ) -> Answer:
        if number % 2:
            return await caller.submit(SUBMIT, query, _DEADLINE_MS)
        return await caller.search(SEARCH, query, _DEADLINE_MS)
