"""The settings in force, indexed for the programs that read them."""

import dataclasses
import types
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

from jacinthcart.settings._models import (
    DataCentres,
    DataCentreState,
    Keys,
    Roster,
    Route,
    Service,
    SettingsModel,
    Workspace,
)
from jacinthcart.settings._policy import Policy

_KIND_STEP_BY_ROOT = types.MappingProxyType({'fleet': 1, 'teams': 2})

_Model = TypeVar('_Model', bound=SettingsModel)


@dataclasses.dataclass(frozen=True)
class SettingsView:
    """All valid settings at one moment; collections are keyed by id.

    Ids of services, routes and workspaces are `<team>/<name>`.
    """

    #: Revision through which the settings are complete.
    revision: int
    #: VMs that may hold rights; None until a valid roster is known.
    roster: Roster | None
    #: Bounds of automatic behaviour; defaults until a value is known.
    policy: Policy
    #: States of data centres.
    data_centres: DataCentres
    #: Services by id.
    services_by_id: Mapping[str, Service]
    #: Routes by id.
    routes_by_id: Mapping[str, Route]
    #: Workspaces by id.
    workspaces_by_id: Mapping[str, Workspace]
    #: Workspace id by hexadecimal SHA-256 digest of a granted key.
    workspace_id_by_digest: Mapping[str, str]

    def is_data_centre_in(self, data_centre: str) -> bool:
        """Return whether the data centre receives new work."""
        state = self.data_centres.state_by_name.get(data_centre)
        return state is not DataCentreState.OUT


def build_view(json_by_path: Mapping[str, Any], revision: int) -> SettingsView:
    """Build the view from validated JSON values by path."""
    rosters = dict(_select(json_by_path, Roster, 'fleet', 'roster'))
    policies = dict(_select(json_by_path, Policy, 'fleet', 'policy'))
    centres = dict(_select(json_by_path, DataCentres, 'fleet', 'data_centres'))
    keys_by_workspace = dict(_select(json_by_path, Keys, 'teams', 'keys'))
    return SettingsView(
        revision=revision,
        roster=next(iter(rosters.values()), None),
        policy=next(iter(policies.values()), Policy()),
        data_centres=next(
            iter(centres.values()),
            DataCentres(state_by_name={}),
        ),
        services_by_id=dict(
            _select(json_by_path, Service, 'teams', 'services')
        ),
        routes_by_id=dict(_select(json_by_path, Route, 'teams', 'routes')),
        workspaces_by_id=dict(
            _select(json_by_path, Workspace, 'teams', 'workspaces'),
        ),
        workspace_id_by_digest={
            digest: workspace_id
            for workspace_id, keys in keys_by_workspace.items()
            for digest in keys.sha256_digests
        },
    )


def _select(
    json_by_path: Mapping[str, Any],
    model: type[_Model],
    root: str,
    kind: str,
) -> Iterator[tuple[str, _Model]]:
    for path, json_value in json_by_path.items():
        steps = path.split('/')
        if steps[0] != root or steps[_KIND_STEP_BY_ROOT[root]] != kind:
            continue
        name = f'{steps[1]}/{steps[-1]}' if root == 'teams' else path
        yield name, model.model_validate(json_value)
