"""Paths of the settings tree and the validation of its units."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import orjson
import pydantic

from jacinthcart.errors import SettingsError
from jacinthcart.network import SettingsModel
from jacinthcart.settings._models import (
    DataCentres,
    Keys,
    Roster,
    Route,
    Service,
    Workspace,
)
from jacinthcart.settings._policy import Policy

#: Maximum size of the JSON encoding of one value.
MAX_VALUE_BYTES = 1_000_000

_FLEET_MODEL_BY_PATH: Mapping[str, type[SettingsModel]] = MappingProxyType(
    {
        'fleet/roster': Roster,
        'fleet/policy': Policy,
        'fleet/data_centres': DataCentres,
    },
)
_TEAM_MODEL_BY_KIND: Mapping[str, type[SettingsModel]] = MappingProxyType(
    {
        'services': Service,
        'routes': Route,
        'workspaces': Workspace,
        'keys': Keys,
    },
)
_TEAM_PATH_LENGTH = 4


def get_unit(path: str) -> str:
    """Return the unit in which `path` is validated.

    Each fleet path and each keys path is a unit of its own, so that an
    unrelated error never delays the revocation of a key. The services,
    routes and workspaces of a team are one unit.
    """
    segments = path.split('/')
    if segments[0] == 'teams' and len(segments) == _TEAM_PATH_LENGTH:
        return path if segments[2] == 'keys' else f'teams/{segments[1]}'
    return path


def get_model(path: str) -> type[SettingsModel] | None:
    """Return the model class for `path`, None for an unknown path."""
    segments = path.split('/')
    if segments[0] == 'fleet':
        return _FLEET_MODEL_BY_PATH.get(path)
    if len(segments) != _TEAM_PATH_LENGTH or segments[0] != 'teams':
        return None
    return _TEAM_MODEL_BY_KIND.get(segments[2])


def parse_unit(
    json_by_path: Mapping[str, Any],
    parsed_by_path: Mapping[str, SettingsModel] | None = None,
) -> tuple[dict[str, SettingsModel], list[SettingsError]]:
    """Validate the values of one unit.

    Return the models by path and all errors found. Null values mark
    deleted paths and have no model. `parsed_by_path` contains the models
    of unchanged values, which are not parsed again.
    """
    errors: list[SettingsError] = []
    models_by_path = {
        path: model
        for path, model in (parsed_by_path or {}).items()
        if json_by_path.get(path) is not None
    }
    for path, json_value in json_by_path.items():
        if json_value is None or path in models_by_path:
            continue
        try:
            models_by_path[path] = parse_value(path, json_value)
        except SettingsError as error:
            errors.append(error)
        except pydantic.ValidationError as error:
            errors.extend(_convert_errors(path, error))
    if not errors:
        errors.extend(_check_references(models_by_path))
    return models_by_path, errors


def parse_value(path: str, json_value: Any) -> SettingsModel:
    """Validate one value.

    Raise SettingsError for an unknown path or a value above the size
    limit, and pydantic.ValidationError for a value its model rejects.
    """
    model = get_model(path)
    if model is None:
        raise SettingsError(path, 'unknown settings path')
    encoded = orjson.dumps(json_value)
    if len(encoded) > MAX_VALUE_BYTES:
        raise SettingsError(
            path, f'value is larger than {MAX_VALUE_BYTES} bytes'
        )
    return model.model_validate_json(encoded)


def _convert_errors(
    path: str,
    error: pydantic.ValidationError,
) -> list[SettingsError]:
    return [
        SettingsError(
            '/'.join([path, *(str(segment) for segment in detail['loc'])]),
            detail['msg'],
        )
        for detail in error.errors(include_input=False, include_url=False)
    ]


def _check_references(
    models_by_path: Mapping[str, SettingsModel],
) -> list[SettingsError]:
    errors = []
    for path, model in models_by_path.items():
        if not isinstance(model, Route):
            continue
        team = path.split('/')[1]
        if f'teams/{team}/services/{model.service}' not in models_by_path:
            errors.append(SettingsError(path, 'service is not defined'))
        charged = model.charged_workspace
        if (
            charged is not None
            and f'teams/{team}/workspaces/{charged}' not in models_by_path
        ):
            errors.append(
                SettingsError(path, 'charged_workspace is not defined'),
            )
    return errors
