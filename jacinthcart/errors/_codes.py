"""Codes that are sent to callers with refusals."""

import enum


class Ran(enum.StrEnum):
    """Whether a refused request may have run on a backend server."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class RefusalCode(enum.StrEnum):
    """Reason for a refusal; the values are part of the public API."""

    INVALID_REQUEST = 'invalid_request'
    BODY_TOO_LARGE = 'body_too_large'
    DEADLINE_PASSED = 'deadline_passed'
    UNKNOWN_ROUTE = 'unknown_route'
    KEY_MISSING = 'key_missing'
    KEY_INVALID = 'key_invalid'
    WORKSPACE_MISMATCH = 'workspace_mismatch'
    OVER_RATE = 'over_rate'
    OVERLOADED = 'overloaded'
    LEAVING = 'leaving'
    NOT_READY = 'not_ready'
    NO_REPLICA = 'no_replica'
    DUPLICATE = 'duplicate'
    EXPIRED_REQUEST_ID = 'expired_request_id'
    BACKEND_FAILED = 'backend_failed'
    INTERNAL = 'internal'
