"""Whether a request may run: route, key, proof of the key, allotment."""

import dataclasses

from jacinthcart.catalogue import Catalogue, CatalogueState, Route, find_route
from jacinthcart.errors import RefusalCode, RefusalError
from jacinthcart.quota import QuotaClient, QuotaHome
from jacinthcart.readings import FreshnessLease
from jacinthcart.routing import CallerRequest

_MS_PER_S = 1000
#: A VM without proof can't tell when it has one; peers are asked this often.
_NOT_READY_RETRY_MS = 300
_LEAST_RETRY_MS = 50
_MOST_RETRY_MS = 1000


@dataclasses.dataclass(frozen=True)
class AdmissionParameters:
    """Ages of the proof up to which a decision stands."""

    #: Seconds for which a key is used after its last proof.
    key_lease_s: float
    #: Seconds after which an unknown route or key may just be new.
    denial_lease_s: float


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A request that may run."""

    route: Route
    #: Workspace of the key; None on public routes.
    workspace: str | None


class Admission:
    """Checks requests against the configuration in force."""

    def __init__(
        self,
        catalogue_state: CatalogueState,
        lease: FreshnessLease,
        quota: QuotaClient,
        home: QuotaHome,
        terms: AdmissionParameters,
    ) -> None:
        """Keep the collaborators."""
        self._catalogue_state = catalogue_state
        self._lease = lease
        self._quota = quota
        self._home = home
        self._terms = terms

    async def admit(self, request: CallerRequest) -> Admitted:
        """Return the route and workspace; raise RefusalError."""
        catalogue = self._catalogue_state.catalogue
        if catalogue is None:
            raise RefusalError(
                RefusalCode.NOT_READY,
                detail='no configuration yet',
                retry_after_ms=_NOT_READY_RETRY_MS,
            )
        route = find_route(catalogue, request.host, request.path)
        if route is None:
            self._check_denial('unknown route')
            raise RefusalError(RefusalCode.UNKNOWN_ROUTE)
        if route.is_public or not catalogue.needs_keys:
            return Admitted(route, None)
        workspace = self._find_workspace(catalogue, request)
        self.check_key_lease()
        decision = await self._quota.take(workspace)
        if not decision.is_granted:
            wait_ms = self._home.estimate_wait_s(workspace) * _MS_PER_S
            raise RefusalError(
                RefusalCode.OVER_RATE,
                detail=f'{workspace}: {decision.describe()}',
                retry_after_ms=int(
                    min(max(wait_ms, _LEAST_RETRY_MS), _MOST_RETRY_MS),
                ),
            )
        return Admitted(route, workspace)

    def is_key_proven(self) -> bool:
        """Return whether keys may be used now."""
        return self._lease.is_fresh(self._terms.key_lease_s)

    def check_key_lease(self) -> None:
        """Raise RefusalError unless keys may be used now."""
        if not self.is_key_proven():
            raise RefusalError(
                RefusalCode.NOT_READY,
                detail=f'reading is {self._lease.age_s:.2f} s old',
                retry_after_ms=_NOT_READY_RETRY_MS,
            )

    def _find_workspace(
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
        if not self._lease.is_fresh(self._terms.denial_lease_s):
            raise RefusalError(
                RefusalCode.NOT_READY,
                detail=f'{detail}; reading is {self._lease.age_s:.2f} s old',
                retry_after_ms=_NOT_READY_RETRY_MS,
            )
