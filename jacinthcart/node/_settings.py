"""Settings of one VM's process."""

import dataclasses

from jacinthcart.network import Endpoint


@dataclasses.dataclass(frozen=True)
class NodeBounds:
    """Times and budgets that the deployment promises."""

    #: Seconds between the stop signal and the kill.
    stop_s: float
    #: Seconds in which a configuration is in force everywhere.
    settings_s: float
    #: Seconds after which a withdrawn key runs nothing more.
    key_s: float
    #: Extra sends for each request of a service.
    extra_ratio: float
    #: Extra sends of the fleet beyond the ratio.
    extra_slack: float
    #: Seconds over which extra sends are counted.
    extra_window_s: float
    #: Longest time in seconds for which callers keep addresses.
    directory_ttl_s: float


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Who this VM is and where it listens."""

    #: Name for logs.
    vm_id: str
    #: IP address; identifies the VM among its peers.
    address: str
    #: Data centre.
    data_centre: str
    #: Where callers connect.
    callers: Endpoint
    #: Where the platform asks whether the VM is ready.
    readiness: Endpoint
    #: Where callers ask for addresses.
    directory: Endpoint
    #: Where operators ask; None when nobody does.
    operators: Endpoint | None
    #: Where metrics are fetched, beside the operators' address.
    metrics: Endpoint | None
    #: Port of the traffic between VMs, UDP and TCP, the same on all VMs.
    peer_port: int
    #: IP addresses of VMs to find the others by.
    seeds: tuple[str, ...]
    #: The platform's store.
    store: Endpoint
    #: Processor share, relative to one core.
    cores: float
    #: Bandwidth of the VM's link in Mbit/s.
    link_mbps: float
    #: Bounds of the deployment.
    bounds: NodeBounds
