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
    answered = [result for result in results if result.answer is not None]
    axes.scatter(
        [result.arrival.at_s for result in answered],
        [result.latency_s * _MS_PER_S for result in answered],
        s=3,
        label='answered',
    )
    failed = [result for result in results if result.answer is None]
    axes.scatter(
        [result.arrival.at_s for result in failed],
        [result.latency_s * _MS_PER_S for result in failed],
        s=9,
        marker='x',
        label='not answered',
    )
    axes.set_xlabel('scheduled start, s')
    axes.set_ylabel('latency, ms')
    axes.set_yscale('log')
    axes.legend()
    figure.savefig(path, format='svg')
