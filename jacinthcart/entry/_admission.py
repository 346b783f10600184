"""Admission control: checks before a request is forwarded."""

import anyio

from jacinthcart.entry._drain import Drain
from jacinthcart.entry._keys import Grant, authorize
from jacinthcart.entry._permits import BasePermitSource
from jacinthcart.errors import RefusalCode, RefusalError
from jacinthcart.feed import StateFeed
from jacinthcart.limits import Permit
from jacinthcart.telemetry import Metrics

_MAX_PERMIT_ATTEMPTS = 2


class Admission:
    """Checks lease, key, rate and deadline.

    Checks whose result can change during the wait for a permit are
    repeated after it, so that a request is refused if its key was revoked
    or the lease expired in the meantime.
    """

    def __init__(
        self,
        feed: StateFeed,
        permits: BasePermitSource,
        drain: Drain,
        metrics: Metrics,
    ) -> None:
        """Store the state that the checks read."""
        self._feed = feed
        self._permits = permits
        self._drain = drain
        self._metrics = metrics

    def check_accepting(self) -> None:
        """Raise RefusalError if the VM accepts no new requests."""
        if self._drain.is_refusing:
            raise RefusalError(RefusalCode.LEAVING, detail='VM is leaving')
        self._check_serving()

    def authorize(self, route_id: str, digest: str | None) -> Grant:
        """Authorize a request against the settings in force."""
        return authorize(self._feed.view, route_id, digest)

    async def admit(
        self,
        grant: Grant,
        digest: str | None,
        deadline: float,
    ) -> Grant:
        """Acquire a permit and repeat the checks that may have changed.

        `deadline` is in seconds on the feed's clock. Return the grant under
        the settings in force after the wait; raise RefusalError.
        """
        started_at = self._feed.clock()
        permit = await self._acquire_permit(grant, deadline)
        self._metrics.record_seconds(
            ('permit_wait', grant.workspace_id, grant.route.request_class),
            self._feed.clock() - started_at,
        )
        self._check_serving()
        current = self._recheck_grant(grant, digest)
        now = self._feed.clock()
        if now >= deadline:
            raise _deadline_refusal()
        if now >= permit.expires_at:
            raise RefusalError(
                RefusalCode.NOT_READY,
                detail='permits expired before use',
            )
        return current

    def _check_serving(self) -> None:
        if not self._feed.is_serving():
            raise RefusalError(
                RefusalCode.NOT_READY,
                detail='no serving lease',
            )
        own_data_centre = self._feed.process.data_centre
        if not self._feed.view.is_data_centre_in(own_data_centre):
            raise RefusalError(
                RefusalCode.LEAVING,
                detail='data centre is out',
            )

    async def _acquire_permit(self, grant: Grant, deadline: float) -> Permit:
        permit = await self._acquire_once(grant.workspace_id, deadline)
        for _ in range(_MAX_PERMIT_ATTEMPTS - 1):
            if self._feed.clock() < permit.expires_at:
                break
            permit = await self._acquire_once(grant.workspace_id, deadline)
        return permit

    async def _acquire_once(self, workspace_id: str, deadline: float) -> Permit:
        try:
            with anyio.fail_after(max(0, deadline - self._feed.clock())):
                return await self._permits.acquire(workspace_id)
        except TimeoutError as error:
            raise _deadline_refusal() from error

    def _recheck_grant(self, grant: Grant, digest: str | None) -> Grant:
        current = self.authorize(grant.route_id, digest)
        if current.workspace_id != grant.workspace_id:
            raise RefusalError(
                RefusalCode.KEY_INVALID,
                detail='the key was granted to another workspace',
            )
        if current.route.kind is not grant.route.kind:
            raise RefusalError(
                RefusalCode.UNKNOWN_ROUTE,
                detail='the route changed its kind',
            )
        return current


def _deadline_refusal() -> RefusalError:
    return RefusalError(
        RefusalCode.DEADLINE_PASSED,
        detail='deadline passed before the request was forwarded',
    )
