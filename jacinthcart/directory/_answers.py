"""Choice of the VMs that a directory answer names."""

import dataclasses
import math
import random
from collections.abc import Iterable, Mapping

from jacinthcart.fleet import MemberRecord


@dataclasses.dataclass(frozen=True)
class DirectoryParameters:
    """Size and lifetime of an answer."""

    #: Addresses in an answer at most (platform contract: 64).
    most: int = 16
    #: Share of a data centre's VMs that is named, the strongest ones: few
    #: VMs keep their connections to searchers in use, and a query over
    #: many shards is as slow as the link and the processor of its VM.
    named_share: float = 0.2
    #: VMs of a data centre that are named at least, if so many live.
    named_least: int = 4
    #: Least part of the strongest VM's capacity that a named VM has.
    weakest_share: float = 0.4
    #: Addresses in an answer at least, if so many VMs live: a caller that
    #: knows one VM only has nowhere to go when it fails.
    least: int = 2
    #: Seconds for which a caller keeps the answer.
    ttl_s: float = 2.0
    #: Share of a request's services by which another data centre must have
    #: more searchers before its VMs are named: a request over shards
    #: crosses data centres once for each shard that is not near. Smaller
    #: differences are borne, because the callers of all data centres at the
    #: VMs and near searchers of one make queues there.
    coverage_gain: float = 0.5


#: Link of a VM in Mbit/s that one core can keep busy with queries.
_MBPS_PER_CORE = 50.0


def estimate_capacity(cores: float, link_mbps: float) -> float:
    """Return what a VM can serve, in cores that its link can feed."""
    return round(min(cores, link_mbps / _MBPS_PER_CORE), 2)


def choose_addresses(
    members: Iterable[MemberRecord],
    data_centre: str,
    coverage_by_data_centre: Mapping[str, float],
    source: random.Random,
    terms: DirectoryParameters,
) -> list[str]:
    """Return addresses of live VMs for a caller of `data_centre`, best first.

    VMs of the caller's data centre come first, unless others stand next to
    far more of the searchers that the caller's requests need. The rest only
    fills an answer that would be too short.
    """
    strongest = list_strongest(members, terms)
    named = _choose_data_centres(
        set(strongest),
        data_centre,
        coverage_by_data_centre,
        terms,
    )
    near: list[str] = []
    far: list[str] = []
    for one, addresses in strongest.items():
        if one in named:
            near.extend(addresses)
        else:
            far.extend(addresses)
    source.shuffle(near)
    source.shuffle(far)
    missing = max(0, terms.least - len(near))
    return [*near[: terms.most], *far[:missing]]


def list_strongest(
    members: Iterable[MemberRecord],
    terms: DirectoryParameters,
) -> dict[str, list[str]]:
    """Return the addresses that may be named, by data centre."""
    by_data_centre: dict[str, list[MemberRecord]] = {}
    for record in members:
        by_data_centre.setdefault(record.data_centre, []).append(record)
    return {
        data_centre: _choose_strongest(records, terms)
        for data_centre, records in by_data_centre.items()
    }


def _choose_strongest(
    records: list[MemberRecord],
    terms: DirectoryParameters,
) -> list[str]:
    ranked = sorted(
        records,
        key=lambda record: (-record.capacity, record.address),
    )
    count = max(
        terms.named_least,
        math.ceil(len(ranked) * terms.named_share),
    )
    chosen = ranked[:count]
    if not chosen:
        return []
    # A VM much weaker than the others of the answer would slow its callers.
    least = chosen[0].capacity * terms.weakest_share
    return [record.address for record in chosen if record.capacity >= least]


def _choose_data_centres(
    data_centres: set[str],
    data_centre: str,
    coverage_by_data_centre: Mapping[str, float],
    terms: DirectoryParameters,
) -> set[str]:
    coverages = {
        one: coverage_by_data_centre.get(one, 0) for one in data_centres
    }
    best = max(coverages.values(), default=0)
    if (
        data_centre in data_centres
        and coverages[data_centre] >= best - terms.coverage_gain
    ):
        return {data_centre}
    if best <= 0:
        return data_centres
    return {
        one
        for one, coverage in coverages.items()
        if coverage >= best - terms.coverage_gain
    }
