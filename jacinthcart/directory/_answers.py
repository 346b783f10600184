"""Choice of the VMs that a directory answer names."""

import dataclasses
import random
from collections.abc import Iterable

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


def choose_addresses(
    members: Iterable[MemberRecord],
    zone: str,
    source: random.Random,
    terms: DirectoryTerms,
) -> list[str]:
    """Return addresses of live VMs for a caller of `zone`, best first.

    VMs of the caller's data centre come first; others only fill an answer
    that would be too short.
    """
    shuffled = list(members)
    source.shuffle(shuffled)
    near = [record.address for record in shuffled if record.zone == zone]
    far = [record.address for record in shuffled if record.zone != zone]
    missing = max(0, terms.least - len(near))
    return [*near[: terms.most], *far[:missing]]
