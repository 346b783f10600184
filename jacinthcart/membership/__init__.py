"""Heartbeats between control processes and the freshness of settings.

A VM that is cut off cannot prove that its settings are fresh enough and stops
serving.
"""

from jacinthcart.membership._ages import (
    compute_age_step_ms,
    compute_roster_digest,
    pack_ages,
    unpack_ages,
)
from jacinthcart.membership._freshness import (
    FreshnessProof,
    FreshnessReason,
    SettingsFreshness,
)
from jacinthcart.membership._heartbeats import HeartbeatPeers
from jacinthcart.membership._messages import (
    Member,
    MemberState,
)
from jacinthcart.membership._ring import select_peers
from jacinthcart.network import (
    MAX_DATAGRAM_BYTES,
    BaseDatagrams,
    DatagramEndpoint,
    decode_datagram,
)

__all__ = [
    'MAX_DATAGRAM_BYTES',
    'BaseDatagrams',
    'DatagramEndpoint',
    'FreshnessProof',
    'FreshnessReason',
    'HeartbeatPeers',
    'Member',
    'MemberState',
    'SettingsFreshness',
    'compute_age_step_ms',
    'compute_roster_digest',
    'decode_datagram',
    'pack_ages',
    'select_peers',
    'unpack_ages',
]
