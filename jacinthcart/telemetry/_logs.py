"""Structured logs with one JSON object per line."""

import sys
import time
from collections.abc import Callable
from typing import IO, Any

import logbook
import orjson

from jacinthcart.telemetry._output import NonBlockingOutput

_REPEAT_INTERVAL_S = 10.0


class _JsonLinesHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each record as one JSON object."""

    def format(self, record: Any) -> str:
        """Return the JSON line of a record."""
        return orjson.dumps(
            {
                'time': record.time.isoformat(),
                'level': record.level_name,
                'program': record.channel,
                'event': record.message,
                **record.extra.get('fields', {}),
            },
            default=str,
        ).decode()


class Logger:
    """Logs named events with fields; suppresses frequent repeats.

    Fields must not contain API keys of callers or query text. At most one
    event per `limit_key` is written in ten seconds; others are counted, and
    the next line of that key reports the count in its `suppressed` field.
    """

    def __init__(
        self,
        program: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initialise with the program name, which appears in each line."""
        self._logger = logbook.Logger(program)
        self._clock = clock
        self._next_time_by_key: dict[str, float] = {}
        self._suppressed_by_key: dict[str, int] = {}

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event for developers."""
        self._write(logbook.DEBUG, event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log an event of normal operation."""
        self._write(logbook.INFO, event, fields)

    def warning(
        self,
        event: str,
        limit_key: str | None = None,
        **fields: Any,
    ) -> None:
        """Log an event that may need action by an operator."""
        if limit_key is None or self._passes_limit(limit_key, fields):
            self._write(logbook.WARNING, event, fields)

    def error(
        self,
        event: str,
        limit_key: str | None = None,
        **fields: Any,
    ) -> None:
        """Log a failure of this program."""
        if limit_key is None or self._passes_limit(limit_key, fields):
            self._write(logbook.ERROR, event, fields)

    def _write(self, level: int, event: str, fields: dict[str, Any]) -> None:
        self._logger.log(level, event, extra={'fields': fields})

    def _passes_limit(self, limit_key: str, fields: dict[str, Any]) -> bool:
        now = self._clock()
        if now < self._next_time_by_key.get(limit_key, now):
            suppressed = self._suppressed_by_key.get(limit_key, 0)
            self._suppressed_by_key[limit_key] = suppressed + 1
            return False
        self._next_time_by_key[limit_key] = now + _REPEAT_INTERVAL_S
        suppressed = self._suppressed_by_key.pop(limit_key, 0)
        if suppressed:
            fields['suppressed'] = suppressed
        return True


_handlers: list[_JsonLinesHandler] = []


def start_logging(
    level: str = 'INFO',
    output: IO[str] | NonBlockingOutput | None = None,
) -> None:
    """Write the log of this process to `output`, by default standard error."""
    handler = _JsonLinesHandler(output or sys.stderr, level=level)
    handler.push_application()
    _handlers.append(handler)


def set_log_level(level: str) -> None:
    """Set the least severe level that is written."""
    for handler in _handlers:
        handler.level = logbook.lookup_level(level)


def create_logger(program: str) -> Logger:
    """Return a logger for one program."""
    return Logger(program)
