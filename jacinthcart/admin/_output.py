"""What the command prints: tables for people, JSON for programs."""

import dataclasses
import sys
from collections.abc import Sequence
from typing import Any, NoReturn

import orjson
from rich.console import Console
from rich.table import Table

from jacinthcart.admin._errors import ExitCode

#: Width of tables when the output is not a terminal.
_PIPE_WIDTH = 160


@dataclasses.dataclass(frozen=True)
class TableText:
    """One table."""

    #: Heading above the table.
    title: str
    #: Column names.
    columns: Sequence[str]
    #: Cells of each row.
    rows: Sequence[Sequence[object]]


def print_json(message: Any) -> None:
    """Print one JSON document."""
    print(orjson.dumps(message, option=orjson.OPT_INDENT_2).decode())


def print_line(line: str) -> None:
    """Print one line at once, so that a pipe shows progress."""
    print(line, flush=True)


def print_table(table: TableText) -> None:
    """Print a table as wide as the terminal."""
    width = None if sys.stdout.isatty() else _PIPE_WIDTH
    rendered = Table(title=table.title, title_justify='left')
    for column in table.columns:
        rendered.add_column(column, overflow='fold')
    for row in table.rows:
        rendered.add_row(*(format_cell(cell) for cell in row))
    Console(width=width, markup=False, highlight=False).print(rendered)


def print_error(line: str) -> None:
    """Print one line on standard error."""
    print(line, file=sys.stderr, flush=True)


def leave(code: ExitCode) -> NoReturn:
    """End the program with a documented exit code."""
    sys.exit(int(code))


def format_cell(cell: object) -> str:
    """Return a cell's text; None is shown as a dash."""
    if cell is None:
        return '-'
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    if isinstance(cell, float):
        return f'{cell:.2f}'
    return str(cell)
