"""Selection of the replica that a request is sent to."""

import random
from collections.abc import Callable, Collection, Iterable

from jacinthcart.dispatch._link import SearcherLink

#: Number of links compared for one request (power of two choices).
_SAMPLE_SIZE = 2

#: Expected latency in seconds, then reported load; the lower score wins.
Score = tuple[float, float]


def choose_link(
    links: Iterable[SearcherLink],
    excluded: Collection[str],
    now: float,
    max_age_s: float,
    random_source: random.Random,
) -> SearcherLink | None:
    """Return the better of two random links whose allowance is not 0.

    Links that failed recently are used only when no other is left. A link
    whose latency is older than `max_age_s` is scored with the lowest recent
    latency of the candidates, so that a replica that was slow once is tried
    again.
    """
    usable = [
        link
        for link in links
        if link.replica.searcher_id not in excluded and link.allowance
    ]
    healthy = [link for link in usable if link.failing_until <= now]
    candidates = healthy or usable
    if not candidates:
        return None
    count = min(_SAMPLE_SIZE, len(candidates))
    pair = random_source.sample(candidates, count)
    return min(pair, key=_create_scorer(candidates, now - max_age_s))


def _create_scorer(
    candidates: Iterable[SearcherLink],
    oldest: float,
) -> Callable[[SearcherLink], Score]:
    latencies = [
        link.latency_s
        for link in candidates
        if link.latency_s is not None and link.latency_at >= oldest
    ]
    lowest_latency_s = min(latencies, default=1.0)

    def score(link: SearcherLink) -> Score:
        latency_s = link.latency_s
        if latency_s is None or link.latency_at < oldest:
            latency_s = lowest_latency_s
        pending = link.in_flight + len(link.queue)
        # The score of an idle link is its latency, independent of its
        # allowance, so a replica with an allowance of one is still chosen.
        rounds = 1 + pending / max(link.allowance, 1)
        return rounds * latency_s, link.load

    return score
