"""Validated responses of the configuration service and of peers."""

import dataclasses
from typing import Any

from jacinthcart.errors import InvalidMessageError
from jacinthcart.settings import SettingsValue


@dataclasses.dataclass(frozen=True)
class WatchChanges:
    """Changed values of one watch response."""

    #: Revision through which the values are complete.
    revision: int
    #: Changed values by path.
    values_by_path: dict[str, SettingsValue]
    #: Number of malformed entries that were left out.
    rejected: int = 0


@dataclasses.dataclass(frozen=True)
class RosterAge:
    """How long a VM has known its current roster."""

    #: The higher of the revisions of `fleet/roster` and `fleet/policy`.
    revision: int
    #: Lower bound in seconds of the time since that revision took effect.
    age_s: float
    #: Whether the VM knows of no process that used another roster.
    is_first: bool


@dataclasses.dataclass(frozen=True)
class PeerSettings:
    """Settings of a peer that are newer than the requested revision."""

    #: Newest values and the peer's revision.
    changes: WatchChanges
    #: The peer's last valid values of units whose newest value is invalid.
    valid: dict[str, SettingsValue]
    #: Age of the peer's roster; None when it has none.
    roster_age: RosterAge | None = None


def decode_watch_changes(message: Any) -> WatchChanges:
    """Decode `{revision, values}`; raise InvalidMessageError if malformed.

    A malformed value entry is left out and counted; the other entries are
    kept.
    """
    revision = _read_revision(message)
    values_by_path, rejected = _read_values(message.get('values'))
    return WatchChanges(revision, values_by_path, rejected)


def decode_peer_settings(message: Any) -> PeerSettings:
    """Decode a peer's response; raise InvalidMessageError if malformed.

    A malformed roster age is ignored, so that settings still propagate.
    """
    changes = decode_watch_changes(message)
    valid, _ = _read_values(message.get('valid', {}))
    return PeerSettings(changes, valid, _read_roster_age(message))


def encode_roster_age(age: RosterAge | None) -> dict[str, Any]:
    """Return the fields of a settings response that describe the roster age.

    Return no fields if the VM has no roster.
    """
    if age is None:
        return {}
    return {
        'roster_revision': age.revision,
        'roster_age_s': age.age_s,
        'roster_is_first': age.is_first,
    }


def _read_roster_age(message: dict[str, Any]) -> RosterAge | None:
    revision = message.get('roster_revision')
    age_s = message.get('roster_age_s')
    if not _is_revision(revision) or not isinstance(age_s, int | float):
        return None
    is_first = message.get('roster_is_first') is True
    return RosterAge(int(revision or 0), float(age_s), is_first)


def _read_revision(message: Any) -> int:
    if not isinstance(message, dict):
        raise InvalidMessageError('response is not an object')
    revision = message.get('revision')
    if isinstance(revision, int) and _is_revision(revision):
        return revision
    raise InvalidMessageError('revision is not a non-negative integer')


def _read_values(entries: Any) -> tuple[dict[str, SettingsValue], int]:
    if not isinstance(entries, dict):
        raise InvalidMessageError('values are not an object')
    values_by_path = {
        path: SettingsValue(entry['revision'], entry['value'])
        for path, entry in entries.items()
        if _is_value_entry(entry)
    }
    return values_by_path, len(entries) - len(values_by_path)


def _is_value_entry(entry: Any) -> bool:
    if not isinstance(entry, dict) or 'value' not in entry:
        return False
    return _is_revision(entry.get('revision'))


def _is_revision(number: Any) -> bool:
    if isinstance(number, bool) or not isinstance(number, int):
        return False
    return number >= 0
