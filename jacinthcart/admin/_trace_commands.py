"""Subcommands about VMs of the platform layout: traces and status."""

import dataclasses
import datetime
import json
import pathlib
from collections.abc import Iterator
from typing import Annotated, Any

import cappa
import httpx

from jacinthcart.admin._errors import CommandError, ExitCode
from jacinthcart.admin._output import (
    TableText,
    leave,
    print_error,
    print_json,
    print_table,
)

_ASK_TIMEOUT_S = 2.0
_EVENT_STARTED = 'started'
#: Seconds between starts that are listed as one loss.
_BURST_S = 5.0
_PLAIN_FIELDS = frozenset(
    ('time', 'level', 'program', 'event', 'request_id', 'vm'),
)
_NOT_A_REQUEST = frozenset(('', None))


@cappa.command(
    name='trace',
    help='Joins the log lines of one request and what changed around it.',
)
@dataclasses.dataclass
class Trace:
    """Joins the log lines of one request and what changed around it."""

    request_id: Annotated[str, cappa.Arg(value_name='REQUEST_ID')]
    logs: Annotated[
        list[pathlib.Path],
        cappa.Arg(long=True, num_args=-1, value_name='FILE'),
    ] = dataclasses.field(default_factory=list)
    around_s: Annotated[
        float,
        cappa.Arg(long=True, help='seconds of changes shown before it'),
    ] = 5.0
    json: Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> None:
        """Run and exit."""
        try:
            lines = sorted(read_log_lines(self.logs), key=_find_time)
        except OSError as error:
            print_error(str(error))
            leave(ExitCode.INVALID)
        found = select_lines(lines, self.request_id, self.around_s)
        if not found:
            print_error(f'no line about {self.request_id}')
            print_table(_create_starts_table(lines))
            leave(ExitCode.FAILURE)
        if self.json:
            print_json(found)
        else:
            print_table(_create_trace_table(found))
        leave(ExitCode.SUCCESS)


@cappa.command(
    name='vms',
    help='Shows what VMs believe, side by side; differences are marked.',
)
@dataclasses.dataclass
class Vms:
    """Shows what VMs believe, side by side."""

    addresses: Annotated[
        list[str],
        cappa.Arg(num_args=-1, value_name='ADDRESS:PORT'),
    ] = dataclasses.field(default_factory=list)
    json: Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> None:
        """Run and exit."""
        status_by_vm = {}
        try:
            for address in self.addresses:
                status_by_vm[address] = _ask(address)
        except CommandError as error:
            print_error(str(error))
            leave(error.code)
        if self.json:
            print_json(status_by_vm)
        else:
            print_table(create_comparison(status_by_vm))
        leave(ExitCode.SUCCESS)


def read_log_lines(paths: list[pathlib.Path]) -> Iterator[dict[str, Any]]:
    """Yield the JSON objects of log files that have a time.

    Other text is passed over. A line may begin with other words, such as
    the time and name that a collector adds; the last of them is taken as
    the VM's name.
    """
    for path in paths:
        for text in path.read_text(errors='replace').splitlines():
            line = _read_line(text, path.stem)
            if line is not None:
                yield line


def _read_line(text: str, file_name: str) -> dict[str, Any] | None:
    prefix, brace, rest = text.partition('{')
    try:
        line: dict[str, Any] = json.loads(brace + rest)
        datetime.datetime.fromisoformat(_find_time(line))
    except ValueError:
        return None
    words = prefix.split()
    name = words[-1] if words else line.get('program', file_name)
    line.setdefault('vm', name)
    return line


def select_lines(
    lines: list[dict[str, Any]],
    request_id: str,
    around_s: float,
) -> list[dict[str, Any]]:
    """Return the lines of a request and changes shortly before it."""
    own = [line for line in lines if _concerns(line, request_id)]
    if not own:
        return []
    vms = {line['vm'] for line in own}
    until = _find_time(own[-1])
    since = _shift(own[0], around_s)
    return [
        line
        for line in lines
        if _concerns(line, request_id)
        or (
            line['vm'] in vms
            and line.get('request_id') in _NOT_A_REQUEST
            and since <= _find_time(line) <= until
        )
    ]


def find_starts(lines: list[dict[str, Any]]) -> list[tuple[str, str, int]]:
    """Return first and last time and number of starts close to each other.

    A request of which no VM knows was not read: its VM had ended or was
    still starting, which the starts around its time show.
    """
    starts: list[tuple[str, str, int]] = []
    for line in lines:
        if line.get('event') != _EVENT_STARTED:
            continue
        time = _find_time(line)
        if starts and _shift(line, _BURST_S) <= starts[-1][1]:
            first, _, count = starts.pop()
            starts.append((first, time, count + 1))
        else:
            starts.append((time, time, 1))
    return starts


def create_comparison(status_by_vm: dict[str, Any]) -> TableText:
    """Return a table with a row for each field and a column for each VM."""
    names = sorted({name for one in status_by_vm.values() for name in one})
    rows = []
    for name in names:
        cells = [status.get(name) for status in status_by_vm.values()]
        differs = any(cell != cells[0] for cell in cells)
        rows.append([name, *cells, '*' if differs else ''])
    return TableText(
        'what the VMs believe',
        ['field', *status_by_vm, 'differs'],
        rows,
    )


def _ask(address: str) -> dict[str, Any]:
    try:
        response = httpx.get(
            f'http://{address}/v1/status',
            timeout=_ASK_TIMEOUT_S,
        )
        response.raise_for_status()
    except httpx.HTTPError as error:
        raise CommandError(
            ExitCode.UNREACHABLE,
            f'{address}: {error!r}',
        ) from error
    return dict(response.json())


def _create_trace_table(lines: list[dict[str, Any]]) -> TableText:
    return TableText(
        'timeline',
        ['time', 'vm', 'event', 'why'],
        [
            [_find_time(line), line['vm'], line.get('event'), _describe(line)]
            for line in lines
        ],
    )


def _create_starts_table(lines: list[dict[str, Any]]) -> TableText:
    return TableText(
        'processes that started; a request while they were away was not read',
        ['first', 'last', 'processes'],
        [list(one) for one in find_starts(lines)],
    )


def _describe(line: dict[str, Any]) -> str:
    return ', '.join(
        f'{name}={found}'
        for name, found in line.items()
        if name not in _PLAIN_FIELDS and found not in ([], None)
    )


def _concerns(line: dict[str, Any], request_id: str) -> bool:
    return line.get('request_id') == request_id


def _find_time(line: dict[str, Any]) -> str:
    return str(line.get('time', ''))


def _shift(line: dict[str, Any], seconds: float) -> str:
    moment = datetime.datetime.fromisoformat(_find_time(line))
    return (moment - datetime.timedelta(seconds=seconds)).isoformat()
