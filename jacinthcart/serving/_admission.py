"""Admission control by route, key, age of the configuration and quota."""

import dataclasses

from jacinthcart.catalogue import Catalogue, CatalogueState, Route, find_route
from jacinthcart.errors import (
    InvalidMessageError,
    RefusalCode,
    RefusalError,
)
from jacinthcart.quota import QuotaClient
from jacinthcart.readings import FreshnessLease
from jacinthcart.routing import CallerRequest
from jacinthcart.serving._shutdown import Shutdown

_MS_PER_S = 1000
#: Retry delay in milliseconds of a VM without a recent proof, which can't
#: predict when it will get one. Peers, whose acknowledgements carry proofs,
#: are pinged at about this interval.
_NOT_READY_RETRY_MS = 300
_MIN_RETRY_MS = 50
_MAX_RETRY_MS = 1000


@dataclasses.dataclass(frozen=True)
class AdmissionParameters:
    """Maximum ages of the proof with which a decision is still valid.

    A proof shows that this VM had the current configuration at some time;
    its age counts from then.
    """

    #: Seconds for which a key is accepted after the last proof.
    key_lease_s: float
    #: Seconds for which an unknown route or key is rejected after the last
    #: proof. Later, it may be a new one that this VM has not received, and
    #: the request is refused as not ready instead.
    denial_lease_s: float


@dataclasses.dataclass(frozen=True)
class Admitted:
    """An admitted request's route and workspace."""

    route: Route
    #: Workspace of the key; None on public routes.
    workspace: str | None
    #: Priority of the request; 0 is the most urgent.
    priority: int = 0


class Admission:
    """Checks requests against the configuration in force."""

    def __init__(
        self,
        catalogue_state: CatalogueState,
        lease: FreshnessLease,
        quota: QuotaClient,
        shutdown: Shutdown,
        params: AdmissionParameters,
    ) -> None:
        """Create the admission control."""
        self._catalogue_state = catalogue_state
        self._lease = lease
        self._quota = quota
        self._shutdown = shutdown
        self._params = params

    async def admit(self, request: CallerRequest) -> Admitted:
        """Return the route and workspace of an admitted request.

        Raise RefusalError if the request is not admitted.
        """
        catalogue, route = self._find_route(request.host, request.path)
        workspace = None
        if catalogue.needs_keys and not route.is_public:
            workspace = self._get_workspace(catalogue, request)
            self.check_key_lease()
        # A request that this VM does not serve must not use up the rate.
        self._shutdown.check(route, compute_deadline(request, route))
        if workspace is None:
            return Admitted(route, None, route.priority)
        decision = await self._quota.take(workspace)
        if not decision.is_granted:
            wait_ms = decision.retry_after_s * _MS_PER_S
            raise RefusalError(
                RefusalCode.OVER_RATE,
                detail=f'{workspace}: {decision.describe()}',
                retry_after_ms=int(
                    min(max(wait_ms, _MIN_RETRY_MS), _MAX_RETRY_MS),
                ),
            )
        priority = _get_priority(catalogue, route, workspace)
        return Admitted(route, workspace, priority)

    def preview(
        self, host: str, path: str, workspace: str | None, now: float
    ) -> Admitted:
        """Return how a request would be admitted, apart from key and rate.

        Raise RefusalError if it would not be admitted, and
        InvalidMessageError if the workspace is unknown. Takes nothing from
        the workspace's rate.
        """
        catalogue, route = self._find_route(host, path)
        if workspace not in {None, *catalogue.workspaces_by_name}:
            raise InvalidMessageError(f'unknown workspace {workspace}')
        if not catalogue.needs_keys or route.is_public:
            workspace = None
        else:
            self.check_key_lease()
        self._shutdown.check(route, now + route.timeout_s)
        priority = _get_priority(catalogue, route, workspace)
        return Admitted(route, workspace, priority)

    def is_proof_recent(self) -> bool:
        """Return whether the last proof is recent enough to accept keys."""
        return self._lease.is_fresh(self._params.key_lease_s)

    def check_key_lease(self) -> None:
        """Raise RefusalError if the last proof is too old to accept keys."""
        if not self.is_proof_recent():
            raise RefusalError(
                RefusalCode.NOT_READY,
                detail=f'last proof is {self._lease.age_s:.2f} s old',
                retry_after_ms=_NOT_READY_RETRY_MS,
            )

    def _find_route(self, host: str, path: str) -> tuple[Catalogue, Route]:
        catalogue = self._catalogue_state.catalogue
        if catalogue is None:
            raise RefusalError(
                RefusalCode.NOT_READY,
                detail='no configuration received yet',
                retry_after_ms=_NOT_READY_RETRY_MS,
            )
        route = find_route(catalogue, host, path)
        if route is None:
            self._check_denial('unknown route')
            raise RefusalError(RefusalCode.UNKNOWN_ROUTE)
        return catalogue, route

    def _get_workspace(
        self,
        catalogue: Catalogue,
        request: CallerRequest,
    ) -> str:
        key = request.credential
        workspace = catalogue.workspace_name_by_key.get(key or '')
        if workspace is None:
            self._check_denial('unknown key')
            code = RefusalCode.KEY_INVALID if key else RefusalCode.KEY_MISSING
            raise RefusalError(code)
        return workspace

    def _check_denial(self, detail: str) -> None:
        if not self._lease.is_fresh(self._params.denial_lease_s):
            raise RefusalError(
                RefusalCode.NOT_READY,
                detail=f'{detail}; last proof is {self._lease.age_s:.2f} s old',
                retry_after_ms=_NOT_READY_RETRY_MS,
            )


def _get_priority(
    catalogue: Catalogue, route: Route, workspace: str | None
) -> int:
    if workspace is None:
        return route.priority
    priority = catalogue.workspaces_by_name[workspace].priority
    return route.priority if priority is None else priority


def compute_deadline(request: CallerRequest, route: Route) -> float:
    """Return the clock time in seconds until which the request may take."""
    return min(request.deadline, request.received_at + route.timeout_s)
