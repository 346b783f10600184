"""Subcommands `trace` and `vms`, for VMs that run `jacinthcart.node`."""

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
    TableData,
    exit_with_code,
    print_error,
    print_json,
    print_table,
)

_STATUS_TIMEOUT_S = 2.0
_EVENT_STARTED = 'started'
#: Process starts at most this many seconds apart form one group.
_MAX_START_GAP_S = 5.0
_COMMON_FIELDS = frozenset(
    ('time', 'level', 'program', 'event', 'request_id', 'vm'),
)
_NO_REQUEST_ID = frozenset(('', None))


@cappa.command(
    name='trace',
    help='Show the log lines of one request and the changes before it.',
)
@dataclasses.dataclass
class Trace:
    """Show the log lines of one request and the changes before it."""

    request_id: Annotated[str, cappa.Arg(value_name='REQUEST_ID')]
    logs: Annotated[
        list[pathlib.Path],
        cappa.Arg(long=True, num_args=-1, value_name='FILE'),
    ] = dataclasses.field(default_factory=list)
    around_s: Annotated[
        float,
        cappa.Arg(
            long=True,
            help='seconds before the request in which changes are shown',
        ),
    ] = 5.0
    json: Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> None:
        """Run and exit."""
        try:
            lines = sorted(read_log_lines(self.logs), key=_get_time)
        except OSError as error:
            print_error(str(error))
            exit_with_code(ExitCode.INVALID)
        found = select_lines(lines, self.request_id, self.around_s)
        if not found:
            print_error(f'no log line with request id {self.request_id}')
            print_table(_create_starts_table(lines))
            exit_with_code(ExitCode.FAILURE)
        if self.json:
            print_json(found)
        else:
            print_table(_create_trace_table(found))
        exit_with_code(ExitCode.SUCCESS)


@cappa.command(
    name='vms',
    help='Compare the status of VMs side by side; differences are marked.',
)
@dataclasses.dataclass
class Vms:
    """Compare the status of VMs side by side."""

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
                status_by_vm[address] = _fetch_status(address)
        except CommandError as error:
            print_error(str(error))
            exit_with_code(error.code)
        if self.json:
            print_json(status_by_vm)
        else:
            print_table(create_comparison(status_by_vm))
        exit_with_code(ExitCode.SUCCESS)


def read_log_lines(paths: list[pathlib.Path]) -> Iterator[dict[str, Any]]:
    """Yield the JSON objects with a time from log files.

    Other text is skipped. A line may have a prefix, such as the time and
    the name that a log collector adds. A line without the field `vm` gets
    it: the last word of the prefix, or else the program or the file name.
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
        datetime.datetime.fromisoformat(_get_time(line))
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
    """Return the lines of a request and of changes shortly before it."""
    request_lines = [
        line for line in lines if _has_request_id(line, request_id)
    ]
    if not request_lines:
        return []
    vms = {line['vm'] for line in request_lines}
    until = _get_time(request_lines[-1])
    since = _subtract_seconds(request_lines[0], around_s)
    return [
        line
        for line in lines
        if _has_request_id(line, request_id)
        or (
            line['vm'] in vms
            and line.get('request_id') in _NO_REQUEST_ID
            and since <= _get_time(line) <= until
        )
    ]


def group_starts(lines: list[dict[str, Any]]) -> list[tuple[str, str, int]]:
    """Return first time, last time and count of each group of starts.

    A request that no VM has logged was not read, because its VM had exited
    or was still starting; the starts around that time show this.
    """
    starts: list[tuple[str, str, int]] = []
    for line in lines:
        if line.get('event') != _EVENT_STARTED:
            continue
        time = _get_time(line)
        if (
            starts
            and _subtract_seconds(line, _MAX_START_GAP_S) <= starts[-1][1]
        ):
            first, _, count = starts.pop()
            starts.append((first, time, count + 1))
        else:
            starts.append((time, time, 1))
    return starts


def create_comparison(status_by_vm: dict[str, Any]) -> TableData:
    """Return a table with one row per field and one column per VM."""
    names = sorted(
        {name for fields in status_by_vm.values() for name in fields}
    )
    rows = []
    for name in names:
        cells = [status.get(name) for status in status_by_vm.values()]
        differs = any(cell != cells[0] for cell in cells)
        rows.append([name, *cells, '*' if differs else ''])
    return TableData(
        'status of the VMs',
        ['field', *status_by_vm, 'differs'],
        rows,
    )


def _fetch_status(address: str) -> dict[str, Any]:
    try:
        response = httpx.get(
            f'http://{address}/v1/status',
            timeout=_STATUS_TIMEOUT_S,
        )
        response.raise_for_status()
    except httpx.HTTPError as error:
        raise CommandError(
            ExitCode.UNREACHABLE,
            f'{address}: {error!r}',
        ) from error
    return dict(response.json())


def _create_trace_table(lines: list[dict[str, Any]]) -> TableData:
    return TableData(
        'timeline',
        ['time', 'vm', 'event', 'details'],
        [
            [
                _get_time(line),
                line['vm'],
                line.get('event'),
                _format_details(line),
            ]
            for line in lines
        ],
    )


def _create_starts_table(lines: list[dict[str, Any]]) -> TableData:
    return TableData(
        'process starts; requests sent while a process was down were not read',
        ['first', 'last', 'processes'],
        [list(group) for group in group_starts(lines)],
    )


def _format_details(line: dict[str, Any]) -> str:
    return ', '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in _COMMON_FIELDS and value not in ([], None)
    )


def _has_request_id(line: dict[str, Any], request_id: str) -> bool:
    return line.get('request_id') == request_id


def _get_time(line: dict[str, Any]) -> str:
    return str(line.get('time', ''))


def _subtract_seconds(line: dict[str, Any], seconds: float) -> str:
    time = datetime.datetime.fromisoformat(_get_time(line))
    return (time - datetime.timedelta(seconds=seconds)).isoformat()
