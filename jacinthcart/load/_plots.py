"""SVG plots of a run; matplotlib is imported only for drawing."""

import pathlib
from collections.abc import Sequence

from jacinthcart.load._results import RequestResult

_MS_PER_S = 1000


def draw_latency_over_time(
    path: pathlib.Path,
    results: Sequence[RequestResult],
) -> None:
    """Plot the latency of answered and failed requests over time."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 4))
    axes = figure.subplots()
    answered = [entry for entry in results if entry.answer is not None]
    axes.scatter(
        [entry.arrival.at_s for entry in answered],
        [entry.latency_s * _MS_PER_S for entry in answered],
        s=3,
        label='answered',
    )
    failed = [entry for entry in results if entry.answer is None]
    axes.scatter(
        [entry.arrival.at_s for entry in failed],
        [entry.latency_s * _MS_PER_S for entry in failed],
        s=9,
        marker='x',
        label='not answered',
    )
    axes.set_xlabel('scheduled start, s')
    axes.set_ylabel('latency, ms')
    axes.set_yscale('log')
    axes.legend()
    figure.savefig(path, format='svg')
