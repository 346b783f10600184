"""Output of the command: text tables or JSON."""

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
class TableData:
    """Content of one table."""

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
    """Print one line and flush, so that progress shows in a pipe."""
    print(line, flush=True)


def print_table(table: TableData) -> None:
    """Print a table, limited to the width of the terminal."""
    width = None if sys.stdout.isatty() else _PIPE_WIDTH
    rendered = Table(title=table.title, title_justify='left')
    for column in table.columns:
        rendered.add_column(column, overflow='fold')
    for row in table.rows:
        rendered.add_row(*(format_cell(cell) for cell in row))
    Console(width=width, markup=False, highlight=False).print(rendered)


def print_error(line: str) -> None:
    """Print one line to standard error."""
    print(line, file=sys.stderr, flush=True)


def exit_with_code(code: ExitCode) -> NoReturn:
    """Exit the process with a documented exit code."""
    sys.exit(int(code))


def format_cell(cell: object) -> str:
    """Return the text of a cell; None is shown as a dash."""
    if cell is None:
        return '-'
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    if isinstance(cell, float):
        return f'{cell:.2f}'
    return str(cell)
