"""Selection of the VM addresses in a directory answer."""

import dataclasses
import math
import random
from collections.abc import Iterable, Mapping

from jacinthcart.fleet import MemberRecord


@dataclasses.dataclass(frozen=True)
class DirectoryParameters:
    """Size, selection criteria and lifetime of an answer."""

    #: Maximum number of addresses in an answer (platform contract: 64).
    max_addresses: int = 16
    #: Fraction of a data centre's VMs that is advertised, the ones with the
    #: highest capacity. Few are advertised, so that their connections to
    #: searchers stay in use, and the strongest, because a query over many
    #: shards is as slow as the network link and the processor of its VM.
    advertised_fraction: float = 0.2
    #: Minimum number of advertised VMs per data centre, if enough are live.
    min_advertised: int = 4
    #: Minimum capacity of an advertised VM as a fraction of the strongest
    #: one's.
    min_capacity_fraction: float = 0.4
    #: Minimum number of addresses in an answer, if enough VMs are live: a
    #: caller that knows only one VM can't fail over.
    min_addresses: int = 2
    #: Seconds for which a caller may cache the answer.
    ttl_s: float = 2.0
    #: Advantage in coverage (the fraction of a host's services with a local
    #: searcher) that another data centre needs before its VMs are
    #: advertised instead. A request over shards crosses data centres once
    #: per shard that is not local. A smaller advantage is ignored, because
    #: directing the callers of all data centres to one overloads its VMs
    #: and searchers.
    min_coverage_gain: float = 0.5


#: Link bandwidth in Mbit/s that one core can saturate with queries.
_MBPS_PER_CORE = 50.0


def estimate_capacity(cores: float, link_mbps: float) -> float:
    """Return a VM's capacity in cores.

    It is limited to the number of cores that saturate the VM's link.
    """
    return round(min(cores, link_mbps / _MBPS_PER_CORE), 2)


def choose_addresses(
    members: Iterable[MemberRecord],
    data_centre: str,
    coverage_by_data_centre: Mapping[str, float],
    random_source: random.Random,
    params: DirectoryParameters,
) -> list[str]:
    """Return addresses of live VMs for a caller in `data_centre`, best first.

    VMs of the caller's data centre are preferred unless another data centre
    has local searchers for many more of the services that the caller needs.
    VMs of the remaining data centres only fill an answer that would be too
    short.
    """
    strongest_by_data_centre = select_strongest(members, params)
    preferred_data_centres = _choose_data_centres(
        set(strongest_by_data_centre),
        data_centre,
        coverage_by_data_centre,
        params,
    )
    preferred: list[str] = []
    others: list[str] = []
    for name, addresses in strongest_by_data_centre.items():
        if name in preferred_data_centres:
            preferred.extend(addresses)
        else:
            others.extend(addresses)
    random_source.shuffle(preferred)
    random_source.shuffle(others)
    missing = max(0, params.min_addresses - len(preferred))
    return [*preferred[: params.max_addresses], *others[:missing]]


def select_strongest(
    members: Iterable[MemberRecord],
    params: DirectoryParameters,
) -> dict[str, list[str]]:
    """Return the addresses of the strongest VMs by data centre.

    Only these addresses may be advertised.
    """
    by_data_centre: dict[str, list[MemberRecord]] = {}
    for record in members:
        by_data_centre.setdefault(record.data_centre, []).append(record)
    return {
        data_centre: _choose_strongest(records, params)
        for data_centre, records in by_data_centre.items()
    }


def _choose_strongest(
    records: list[MemberRecord],
    params: DirectoryParameters,
) -> list[str]:
    ranked = sorted(
        records,
        key=lambda record: (-record.capacity, record.address),
    )
    count = max(
        params.min_advertised,
        math.ceil(len(ranked) * params.advertised_fraction),
    )
    chosen = ranked[:count]
    if not chosen:
        return []
    # A VM much weaker than the others would serve its callers slowly.
    min_capacity = chosen[0].capacity * params.min_capacity_fraction
    return [
        record.address for record in chosen if record.capacity >= min_capacity
    ]


def _choose_data_centres(
    data_centres: set[str],
    data_centre: str,
    coverage_by_data_centre: Mapping[str, float],
    params: DirectoryParameters,
) -> set[str]:
    coverages = {
        name: coverage_by_data_centre.get(name, 0) for name in data_centres
    }
    best = max(coverages.values(), default=0)
    if (
        data_centre in data_centres
        and coverages[data_centre] >= best - params.min_coverage_gain
    ):
        return {data_centre}
    if best <= 0:
        return data_centres
    return {
        name
        for name, coverage in coverages.items()
        if coverage >= best - params.min_coverage_gain
    }
