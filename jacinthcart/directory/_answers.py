"""Choice of the VMs that a directory answer names."""

import dataclasses
import random
from collections.abc import Iterable, Mapping

from jacinthcart.fleet import MemberRecord


@dataclasses.dataclass(frozen=True)
class DirectoryTerms:
    """Size and lifetime of an answer."""

    #: Addresses in an answer at most (platform contract: 64).
    most: int = 16
    #: Addresses in an answer at least, if so many VMs live: a caller that
    #: knows one VM only has nowhere to go when it fails.
    least: int = 2
    #: Seconds for which a caller keeps the answer.
    ttl_s: float = 2.0
    #: Share of a request's services by which another data centre must have
    #: more searchers before its VMs are named: a request over shards
    #: crosses data centres once for each shard that is not near.
    coverage_gain: float = 0.3


def choose_addresses(
    members: Iterable[MemberRecord],
    zone: str,
    coverage_by_zone: Mapping[str, float],
    source: random.Random,
    terms: DirectoryTerms,
) -> list[str]:
    """Return addresses of live VMs for a caller of `zone`, best first.

    VMs of the caller's data centre come first, unless others stand next to
    far more of the searchers that the caller's requests need. The rest only
    fills an answer that would be too short.
    """
    shuffled = list(members)
    source.shuffle(shuffled)
    zones = {record.zone for record in shuffled}
    named = _choose_zones(zones, zone, coverage_by_zone, terms)
    near = [record.address for record in shuffled if record.zone in named]
    far = [record.address for record in shuffled if record.zone not in named]
    missing = max(0, terms.least - len(near))
    return [*near[: terms.most], *far[:missing]]


def _choose_zones(
    zones: set[str],
    zone: str,
    coverage_by_zone: Mapping[str, float],
    terms: DirectoryTerms,
) -> set[str]:
    coverages = {one: coverage_by_zone.get(one, 0) for one in zones}
    best = max(coverages.values(), default=0)
    if zone in zones and coverages[zone] >= best - terms.coverage_gain:
        return {zone}
    if best <= 0:
        return zones
    return {
        one
        for one, coverage in coverages.items()
        if coverage >= best - terms.coverage_gain
    }
