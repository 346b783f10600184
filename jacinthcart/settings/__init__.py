"""Settings: validated models, their revisions and the view in force."""

from jacinthcart.network import Endpoint, SettingsModel
from jacinthcart.settings._models import (
    DataCentres,
    DataCentreState,
    Keys,
    Part,
    RequestClass,
    Roster,
    RosterEntry,
    Route,
    RouteKind,
    Searcher,
    SearcherState,
    Service,
    Workspace,
)
from jacinthcart.settings._policy import Policy
from jacinthcart.settings._process import (
    ProcessSettings,
    load_process_settings,
)
from jacinthcart.settings._store import (
    SettingsStore,
    SettingsValue,
    decode_values,
    encode_values,
)
from jacinthcart.settings._tree import (
    MAX_VALUE_BYTES,
    get_model,
    get_unit,
    parse_unit,
)
from jacinthcart.settings._view import SettingsView, build_view

__all__ = [
    'MAX_VALUE_BYTES',
    'DataCentreState',
    'DataCentres',
    'Endpoint',
    'Keys',
    'Part',
    'Policy',
    'ProcessSettings',
    'RequestClass',
    'Roster',
    'RosterEntry',
    'Route',
    'RouteKind',
    'Searcher',
    'SearcherState',
    'Service',
    'SettingsModel',
    'SettingsStore',
    'SettingsValue',
    'SettingsView',
    'Workspace',
    'build_view',
    'decode_values',
    'encode_values',
    'get_model',
    'get_unit',
    'load_process_settings',
    'parse_unit',
]
