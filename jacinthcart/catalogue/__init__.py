"""State of a node: the operators' configuration and the usable searchers."""

from jacinthcart.catalogue._state import CatalogueState
from jacinthcart.catalogue._types import (
    Catalogue,
    FrontLimits,
    Route,
    Searcher,
    SearcherState,
    ServiceConfig,
    TrafficShare,
    WorkspaceConfig,
    find_route,
)

__all__ = [
    'Catalogue',
    'CatalogueState',
    'FrontLimits',
    'Route',
    'Searcher',
    'SearcherState',
    'ServiceConfig',
    'TrafficShare',
    'WorkspaceConfig',
    'find_route',
]
