"""Measures, fits and plots the growth of costs for docs/CAPACITY.md."""

import pathlib

from jacinthcart.load import build_table
from jacinthcart_lab._control_cost import measure_control_costs
from jacinthcart_lab._path_cost import PathCost, measure_path_cost
from jacinthcart_lab._slopes import (
    Fit,
    SlopePoint,
    fit_lines,
    measure_ownership,
    measure_serialization,
    measure_settings,
    measure_token_owners,
)

_SEARCHER_COUNTS = (1, 10, 20, 30)
_QUERIES = 100
#: Queries per second.
_RATE = 5
_COLUMNS = 3
_PANEL_INCHES = 4


def measure_capacity(folder: pathlib.Path) -> tuple[str, list[SlopePoint]]:
    """Measure every cost; return the tables as Markdown and the points."""
    points = [
        *measure_ownership(),
        *measure_token_owners(),
        *measure_settings(),
        *measure_serialization(),
        *_measure_paths(folder / 'path'),
        *measure_control_costs(folder / 'control'),
    ]
    return build_capacity_tables(points), points


def build_capacity_tables(points: list[SlopePoint]) -> str:
    """Return the points and the fitted lines as Markdown tables."""
    point_rows = [
        [point.measure, point.varied, f'{point.size:g}', f'{point.result:.4g}']
        for point in points
    ]
    fit_rows = [
        [fit.measure, fit.varied, f'{fit.intercept:.4g}', f'{fit.slope:.4g}']
        for fit in fit_lines(points)
    ]
    return '\n\n'.join(
        (
            build_table(['measure', 'varied', 'size', 'result'], point_rows),
            build_table(
                ['measure', 'varied', 'at size 0', 'for each unit'],
                fit_rows,
            ),
        ),
    )


def plot_points(points: list[SlopePoint], file: pathlib.Path) -> None:
    """Write one panel for each measure, with its fitted line, as SVG."""
    from matplotlib.figure import Figure

    fits = fit_lines(points)
    rows = -(-len(fits) // _COLUMNS)
    size = (_PANEL_INCHES * _COLUMNS, _PANEL_INCHES * rows)
    figure = Figure(figsize=size, layout='constrained')
    for number, fit in enumerate(fits, start=1):
        axes = figure.add_subplot(rows, _COLUMNS, number)
        chosen = [point for point in points if point.measure == fit.measure]
        sizes = [point.size for point in chosen]
        axes.plot(sizes, [point.result for point in chosen], 'o')
        axes.plot(sizes, [_compute_line(fit, size) for size in sizes])
        axes.set_title(fit.measure)
        axes.set_xlabel(fit.varied)
    figure.savefig(file, format='svg', metadata={'Date': None})


def _measure_paths(folder: pathlib.Path) -> list[SlopePoint]:
    points: list[SlopePoint] = []
    for searchers in _SEARCHER_COUNTS:
        cost = measure_path_cost(folder, searchers, _QUERIES, _RATE)
        points.extend(_convert_path_cost(cost))
    return points


def _convert_path_cost(cost: PathCost) -> list[SlopePoint]:
    return [
        SlopePoint(
            f'{program} CPU of a query, ms',
            'searchers of a query',
            cost.searchers,
            cpu_ms,
        )
        for program, cpu_ms in cost.cpu_ms_by_program.items()
    ]


def _compute_line(fit: Fit, size: float) -> float:
    return fit.intercept + fit.slope * size
