"""The record of a run: what was sent, answered and run."""

import pathlib
import time
import types
from typing import Any, TextIO


class Record:
    """Writes one line for each event, with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        """Create the file; `close` closes it."""
        self._started_at = time.monotonic()
        self._file: TextIO = path.open('w', encoding='utf-8')

    def __enter__(self) -> 'Record':
        """Return the record itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Close the file."""
        self._file.close()

    def write(self, event: str, **fields: Any) -> None:
        """Append an event."""
        elapsed_s = time.monotonic() - self._started_at
        text = ' '.join(f'{name}={field}' for name, field in fields.items())
        self._file.write(f'{elapsed_s:9.3f} {event} {text}\n')
        self._file.flush()
