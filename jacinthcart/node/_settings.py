"""Settings of the process of one VM."""

import dataclasses

from jacinthcart.network import Endpoint
from jacinthcart.overload import OverloadMode


@dataclasses.dataclass(frozen=True)
class NodeBounds:
    """Time bounds and budgets that the deployment guarantees."""

    #: Seconds between the stop signal and the kill signal.
    stop_s: float
    #: Seconds within which a configuration is in force on all VMs.
    settings_s: float
    #: Seconds from the revocation of a key until requests with it no longer
    #: run.
    key_s: float
    #: Extra sends (retries and hedges) allowed per request of a service.
    extra_ratio: float
    #: Extra sends of a service that the whole fleet may make in a window
    #: beyond the ratio.
    extra_slack: float
    #: Length in seconds of the window in which extra sends are counted.
    extra_window_s: float
    #: Longest time in seconds for which callers may cache VM addresses.
    directory_ttl_s: float


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Identity, addresses and resources of this VM."""

    #: Name of the VM in logs.
    vm_id: str
    #: IP address; identifies the VM among its peers.
    address: str
    data_centre: str
    #: Address for callers' requests.
    callers: Endpoint
    #: Address at which the platform checks whether this VM is ready.
    readiness: Endpoint
    #: Address at which callers look up the addresses of VMs.
    directory: Endpoint
    #: Address of the operators' API; None to disable it.
    operators: Endpoint | None
    #: Additional address for metrics; None to disable it.
    metrics: Endpoint | None
    #: Port of the traffic between VMs, UDP and TCP, the same on all VMs.
    peer_port: int
    #: IP addresses of VMs from which the other members are discovered.
    seeds: tuple[str, ...]
    #: Address of the platform's store.
    store: Endpoint
    #: Processor time available to the process, in cores.
    cores: float
    #: Bandwidth of the VM's link in Mbit/s.
    link_mbps: float
    #: Memory available to the process, in bytes.
    memory_bytes: int
    #: Bounds of the deployment.
    bounds: NodeBounds
    #: What to do with queries while searchers lack capacity.
    overload_mode: OverloadMode = OverloadMode.OFF
