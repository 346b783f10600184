"""Selection of the members from which a VM pulls store data."""

import dataclasses

from jacinthcart.fleet._members import MemberTable, compute_interval_factor
from jacinthcart.fleet._messages import FleetMessage
from jacinthcart.readings import FreshnessLease

#: Key by which members are ranked for reading the platform's store.
READERS_KEY = 'readers'


@dataclasses.dataclass(frozen=True)
class SourceParameters:
    """How many members are sources and when others are asked."""

    #: Store readers, in rank order, pinged directly when the freshness
    #: proof is old.
    direct_readers: int = 2
    #: Number of VMs in a data centre that relay store data to the others
    #: there.
    relays: int = 1
    #: Age of the proof in seconds above which the readers are pinged
    #: directly.
    direct_age_s: float = 1.2
    #: Seconds by which any other member's proof must be newer for this VM
    #: to pull from that member while its own proof is old.
    min_age_gain_s: float = 0.3


class StoreSources:
    """The sources of this VM, which depend on the live members."""

    def __init__(
        self,
        members: MemberTable,
        lease: FreshnessLease,
        params: SourceParameters,
    ) -> None:
        """Initialise; `lease` tells how old the proof of this VM is."""
        self._members = members
        self._lease = lease
        self._params = params
        self._computed_for: list[str] = []
        self._sources: list[str] = []

    def is_stale(self) -> bool:
        """Return whether the proof of this VM is old."""
        stale_s = self._params.direct_age_s * compute_interval_factor(
            self._members
        )
        return self._lease.age_s > stale_s

    def is_source(self, received: FleetMessage) -> bool:
        """Return whether to pull from the sender what this VM lacks."""
        is_listed = received.sender.address in self.list_sources()
        return is_listed or self.has_newer_proof(received)

    def has_newer_proof(self, received: FleetMessage) -> bool:
        """Return whether to pull from the sender, whatever its rank.

        The first readers may have lost access to the store while another VM
        reads it.
        """
        own_age_s = self._lease.age_s
        return (
            received.age_s is not None
            and self.is_stale()
            and received.age_s + self._params.min_age_gain_s < own_age_s
        )

    def list_sources(self) -> list[str]:
        """Return the addresses of the members to pull from."""
        params = self._params
        ranked = self._members.rank(READERS_KEY)
        if self._computed_for is not ranked:
            self._computed_for = ranked
            self._sources = _find_sources(self._members, ranked, params.relays)
        if not self.is_stale():
            return self._sources
        own_address = self._members.own.address
        readers = ranked[: params.direct_readers]
        return [
            *self._sources,
            *(address for address in readers if address != own_address),
        ]


def _find_sources(
    members: MemberTable,
    ranked: list[str],
    relays: int,
) -> list[str]:
    # Relays pull from the first reader, other VMs from the relays of their
    # data centre.
    own = members.own
    same_data_centre = {
        record.address
        for record in members.list_alive()
        if record.data_centre == own.data_centre
    }
    relaying = [address for address in ranked if address in same_data_centre][
        :relays
    ]
    sources = ranked[:1] if own.address in relaying else relaying
    return [address for address in sources if address != own.address]
