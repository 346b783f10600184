"""Immutable view of the settings in force, indexed for lookup."""

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

from jacinthcart.network import SettingsModel
from jacinthcart.settings._models import (
    DataCentres,
    DataCentreState,
    Keys,
    Roster,
    Route,
    Service,
    Workspace,
)
from jacinthcart.settings._policy import Policy
from jacinthcart.settings._tree import parse_value

_Model = TypeVar('_Model', bound=SettingsModel)


@dataclasses.dataclass(frozen=True)
class SettingsView:
    """Snapshot of all valid settings; collections are keyed by id.

    Ids of services, routes and workspaces are `<team>/<name>`.
    """

    #: Revision up to which the settings are complete.
    revision: int
    #: VMs that can own limit shares and searchers; None until a valid
    #: roster has been received.
    roster: Roster | None
    #: Parameters of automatic behaviour; defaults until a value is received.
    policy: Policy
    #: Administrative states of data centres.
    data_centres: DataCentres
    #: Services by id.
    services_by_id: Mapping[str, Service]
    #: Routes by id.
    routes_by_id: Mapping[str, Route]
    #: Workspaces by id.
    workspaces_by_id: Mapping[str, Workspace]
    #: Workspace id by hexadecimal SHA-256 digest of an accepted key.
    workspace_id_by_digest: Mapping[str, str]

    def is_data_centre_in(self, data_centre: str) -> bool:
        """Return whether VMs and searchers there receive new requests."""
        state = self.data_centres.state_by_name.get(data_centre)
        return state is not DataCentreState.OUT


def build_view(json_by_path: Mapping[str, Any], revision: int) -> SettingsView:
    """Build a view from valid JSON values by path.

    Raise SettingsError or pydantic.ValidationError for an invalid value.
    """
    models_by_path = {
        path: parse_value(path, json_value)
        for path, json_value in json_by_path.items()
    }
    return build_view_from_models(models_by_path, revision)


def build_view_from_models(
    models_by_path: Mapping[str, SettingsModel],
    revision: int,
) -> SettingsView:
    """Build a view from the models of all values in force, by path."""
    roster = models_by_path.get('fleet/roster')
    policy = models_by_path.get('fleet/policy')
    data_centre_states = models_by_path.get('fleet/data_centres')
    keys_by_workspace = dict(_select_team_models(models_by_path, Keys))
    return SettingsView(
        revision=revision,
        roster=roster if isinstance(roster, Roster) else None,
        policy=policy if isinstance(policy, Policy) else Policy(),
        data_centres=(
            data_centre_states
            if isinstance(data_centre_states, DataCentres)
            else DataCentres(state_by_name={})
        ),
        services_by_id=dict(_select_team_models(models_by_path, Service)),
        routes_by_id=dict(_select_team_models(models_by_path, Route)),
        workspaces_by_id=dict(_select_team_models(models_by_path, Workspace)),
        workspace_id_by_digest={
            digest: workspace_id
            for workspace_id, keys in keys_by_workspace.items()
            for digest in keys.sha256_digests
        },
    )


def _select_team_models(
    models_by_path: Mapping[str, SettingsModel],
    model_class: type[_Model],
) -> Iterator[tuple[str, _Model]]:
    """Yield each model of the class with its id `<team>/<name>` first."""
    for path, model in models_by_path.items():
        if isinstance(model, model_class):
            segments = path.split('/')
            yield f'{segments[1]}/{segments[-1]}', model
