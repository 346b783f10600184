"""Caller keys; only their digest is stored."""

import dataclasses
import hashlib
from collections.abc import Iterable

from jacinthcart.errors import RefusalCode, RefusalError
from jacinthcart.settings import Route, SettingsView

_SCHEME = 'bearer'
_MAX_KEY_LENGTH = 512


@dataclasses.dataclass(frozen=True)
class Grant:
    """Authorization of a request under one version of the settings."""

    #: Route id, `<team>/<name>`.
    route_id: str
    #: The route's settings.
    route: Route
    #: Workspace that the request runs for and whose rate it counts against.
    workspace_id: str


def read_key_digest(headers: Iterable[tuple[bytes, bytes]]) -> str | None:
    """Return the SHA-256 digest of the caller's key, or None if absent.

    Raise RefusalError with INVALID_REQUEST if a header is not UTF-8, or if
    there is more than one Authorization header or it is not `Bearer <key>`.
    """
    authorizations: list[str] = []
    for name, raw_value in headers:
        text = _decode_header(name, raw_value)
        if name.lower() == b'authorization':
            authorizations.append(text)
    if not authorizations:
        return None
    if len(authorizations) > 1:
        raise _invalid_header_refusal('more than one Authorization header')
    return _digest_key(authorizations[0])


def authorize(
    view: SettingsView,
    route_id: str,
    digest: str | None,
) -> Grant:
    """Authorize a request under the settings in `view`.

    Raise RefusalError with UNKNOWN_ROUTE, KEY_MISSING or KEY_INVALID, or
    with WORKSPACE_MISMATCH if the key belongs to another team.
    """
    route = view.routes_by_id.get(route_id)
    if route is None:
        raise RefusalError(RefusalCode.UNKNOWN_ROUTE)
    team = route_id.split('/')[0]
    if route.open_to_all:
        return Grant(route_id, route, f'{team}/{route.charged_workspace}')
    workspace_id = _get_workspace_id(view, digest)
    if workspace_id.split('/')[0] != team:
        raise RefusalError(
            RefusalCode.WORKSPACE_MISMATCH,
            detail='the key belongs to another team',
        )
    return Grant(route_id, route, workspace_id)


def _get_workspace_id(view: SettingsView, digest: str | None) -> str:
    if digest is None:
        raise RefusalError(RefusalCode.KEY_MISSING)
    workspace_id = view.workspace_id_by_digest.get(digest)
    if workspace_id is None or workspace_id not in view.workspaces_by_id:
        raise RefusalError(RefusalCode.KEY_INVALID)
    return workspace_id


def _decode_header(name: bytes, raw_value: bytes) -> str:
    try:
        return raw_value.decode()
    except UnicodeDecodeError as error:
        header_name = name.decode('ascii', 'replace')
        raise _invalid_header_refusal(
            f'header {header_name} is not UTF-8'
        ) from error


def _digest_key(authorization: str) -> str:
    scheme, _, key = authorization.strip().partition(' ')
    key = key.strip()
    if scheme.lower() != _SCHEME or not key or ' ' in key:
        raise _invalid_header_refusal('Authorization is not Bearer <key>')
    if len(key) > _MAX_KEY_LENGTH:
        raise _invalid_header_refusal('the key is too long')
    return hashlib.sha256(key.encode()).hexdigest()


def _invalid_header_refusal(detail: str) -> RefusalError:
    return RefusalError(RefusalCode.INVALID_REQUEST, detail=detail)
