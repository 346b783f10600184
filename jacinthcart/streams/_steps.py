"""Measures the processor time of a coroutine that runs among others."""

from collections.abc import Callable, Coroutine, Generator
from typing import Any, Generic, TypeVar

_Returned = TypeVar('_Returned')


class MeasuredSteps(Generator[Any, Any, _Returned], Generic[_Returned]):
    """Awaits a coroutine and reports the processor time of each step.

    A step lasts from one suspension to the next, so that what other tasks
    take in between does not count. Whatever the event loop sends or throws is
    passed on, cancellation too.
    """

    def __init__(
        self,
        work: Coroutine[Any, Any, _Returned],
        read_processor_s: Callable[[], float],
        record: Callable[[float], None],
    ) -> None:
        """Initialise; `record` is called with the seconds of each step."""
        self._work = work
        self._read_processor_s = read_processor_s
        self._record = record
        self._started_s = 0.0

    def __await__(self) -> 'MeasuredSteps[_Returned]':
        """Return the iterator over the suspensions of the coroutine."""
        return self

    def compute_used_s(self) -> float:
        """Return the processor seconds of the step in progress."""
        return self._read_processor_s() - self._started_s

    def send(self, message: Any) -> Any:
        """Run the next step."""
        self._started_s = self._read_processor_s()
        try:
            return self._work.send(message)
        finally:
            self._record(self.compute_used_s())

    def throw(self, *error: Any) -> Any:
        """Run the next step, which begins with an error."""
        self._started_s = self._read_processor_s()
        try:
            return self._work.throw(*error)
        finally:
            # Its traceback refers to this frame.
            error = ()
            self._record(self.compute_used_s())

    def close(self) -> None:
        """End the coroutine where it is suspended."""
        self._work.close()
