"""Non-blocking output for log lines."""

import collections
import threading
from typing import IO

#: Maximum number of lines queued while the reader is slow; further lines are
#: dropped and counted.
_MAX_LINES = 2000


class NonBlockingOutput:
    """A stream whose `write` only queues text, which a thread writes.

    A stalled reader of standard output must not delay requests. The thread
    is a daemon, so `close` must be called before the process ends: it waits
    until the thread has written the queued lines, if the reader accepts them
    in time.
    """

    def __init__(self, stream: IO[str], max_lines: int = _MAX_LINES) -> None:
        """Start the writer thread."""
        self.dropped = 0
        self._stream = stream
        self._max_lines = max_lines
        self._lines: collections.deque[str] = collections.deque()
        self._condition = threading.Condition()
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        """Queue text, or drop and count it if the queue is full."""
        with self._condition:
            if len(self._lines) >= self._max_lines:
                self.dropped += 1
            else:
                self._lines.append(text)
                self._condition.notify()
        return len(text)

    def flush(self) -> None:
        """Do nothing; the thread flushes after each write."""

    def close(self, timeout_s: float) -> None:
        """Wait at most `timeout_s` until all queued text is written."""
        with self._condition:
            self._is_closed = True
            self._condition.notify()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while True:
            with self._condition:
                while not self._lines and not self._is_closed:
                    self._condition.wait()
                if not self._lines:
                    return
                batch = ''.join(self._lines)
                self._lines.clear()
                dropped = self.dropped
                self.dropped = 0
            if dropped:
                batch = (
                    f'{batch}{{"event":"lines dropped","count":{dropped}}}\n'
                )
            self._stream.write(batch)
            self._stream.flush()
