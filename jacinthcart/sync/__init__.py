"""Reads settings from the configuration service and from peers."""

from jacinthcart.sync._backoff import Backoff
from jacinthcart.sync._messages import (
    PeerSettings,
    RosterAge,
    WatchChanges,
    decode_peer_settings,
    decode_watch_changes,
    encode_roster_age,
)
from jacinthcart.sync._peers import BasePeerClient, PeerSettingsClient
from jacinthcart.sync._platform import BasePlatform, PlatformClient
from jacinthcart.sync._watch import WatchLoop, compute_watch_interval

__all__ = [
    'Backoff',
    'BasePeerClient',
    'BasePlatform',
    'PeerSettings',
    'PeerSettingsClient',
    'PlatformClient',
    'RosterAge',
    'WatchChanges',
    'WatchLoop',
    'compute_watch_interval',
    'decode_peer_settings',
    'decode_watch_changes',
    'encode_roster_age',
]
