"""What operators and searchers published, as one immutable snapshot."""

from jacinthcart.catalogue._book import CatalogueBook
from jacinthcart.catalogue._types import (
    Catalogue,
    FrontLimits,
    Route,
    Searcher,
    SearcherState,
    ServiceTerms,
    TrafficShare,
    WorkspaceTerms,
    find_route,
)

__all__ = [
    'Catalogue',
    'CatalogueBook',
    'FrontLimits',
    'Route',
    'Searcher',
    'SearcherState',
    'ServiceTerms',
    'TrafficShare',
    'WorkspaceTerms',
    'find_route',
]
