"""Explains the effective settings of one route and one workspace."""

from typing import Any

from jacinthcart.control._node import ControlNode
from jacinthcart.errors import SettingsError
from jacinthcart.ownership import (
    find_part_owners,
    find_token_owners,
    find_warmer,
    qualify_searcher,
)
from jacinthcart.settings import Part, Service, SettingsView


class Explainer:
    """Describes routes and workspaces based on one settings view."""

    def __init__(self, node: ControlNode) -> None:
        """Create an explainer for the settings currently in force."""
        self._node = node
        self._view: SettingsView = node.state.view
        roster = self._view.roster
        self._vm_ids = sorted(roster.vms_by_id) if roster else []

    def explain(self, route_id: str, workspace_id: str) -> dict[str, Any]:
        """Describe the route and the workspace; None for an unknown id."""
        return {
            'revision': self._view.revision,
            'route': self._explain_route(route_id),
            'workspace': self._explain_workspace(workspace_id),
            'errors': [
                str(error)
                for error in self._node.state.store.errors
                if self._concerns(error, (route_id, workspace_id))
            ],
        }

    def _explain_route(self, route_id: str) -> dict[str, Any] | None:
        route = self._view.routes_by_id.get(route_id)
        if route is None:
            return None
        team = route_id.split('/')[0]
        service_id = f'{team}/{route.service}'
        service = self._view.services_by_id[service_id]
        return {
            'settings': route.model_dump(mode='json'),
            'service': service_id,
            'index_versions': list(service.index_versions),
            'partition_map': service.partition_map,
            'parts': {
                name: self._explain_part(service_id, name, service, part)
                for name, part in service.parts_by_name.items()
            },
        }

    def _explain_part(
        self,
        service_id: str,
        name: str,
        service: Service,
        part: Part,
    ) -> dict[str, Any]:
        owners = find_part_owners(service_id, name, service, self._vm_ids)
        return {
            'shards': list(part.shards),
            'owners': owners,
            'searchers': {
                searcher_id: self._explain_searcher(
                    service_id,
                    part,
                    searcher_id,
                    owners,
                )
                for searcher_id in part.searchers_by_id
            },
        }

    def _explain_searcher(
        self,
        service_id: str,
        part: Part,
        searcher_id: str,
        owners: list[str],
    ) -> dict[str, Any]:
        searcher = part.searchers_by_id[searcher_id]
        warm_id = qualify_searcher(service_id, searcher_id)
        warm_entry = self._node.state.warm.export().get(warm_id)
        return {
            'state': str(searcher.state),
            'data_centre': searcher.data_centre,
            'data_centre_in': self._view.is_data_centre_in(
                searcher.data_centre,
            ),
            'warmer': find_warmer(warm_id, owners) if owners else None,
            'warm_entry': warm_entry,
        }

    def _explain_workspace(self, workspace_id: str) -> dict[str, Any] | None:
        workspace = self._view.workspaces_by_id.get(workspace_id)
        if workspace is None:
            return None
        owners = find_token_owners(
            workspace_id,
            self._vm_ids,
            self._view.policy.share_spread,
        )
        workspace_ids = list(self._view.workspace_id_by_digest.values())
        return {
            'settings': workspace.model_dump(mode='json'),
            'token_owners': owners,
            'rate_per_owner': workspace.rate / max(1, len(owners)),
            'keys': workspace_ids.count(workspace_id),
        }

    def _concerns(self, error: SettingsError, ids: tuple[str, str]) -> bool:
        team_prefixes = {
            f'teams/{qualified_id.split("/")[0]}/' for qualified_id in ids
        }
        return error.path.startswith(('fleet/', *team_prefixes))
