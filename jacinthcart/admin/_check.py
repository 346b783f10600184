"""Validation of settings for `jacinthcart check`."""

import pathlib
from collections.abc import Sequence
from typing import Any

from jacinthcart.admin._errors import CommandError, ExitCode
from jacinthcart.admin._roster import (
    SettingsTree,
    read_json_file,
    read_settings_tree,
)
from jacinthcart.errors import SettingsError
from jacinthcart.settings import Endpoint, SettingsStore, SettingsValue


async def check_settings(
    files: Sequence[pathlib.Path],
    service: Endpoint | None,
) -> list[SettingsError]:
    """Return the errors of the service's tree overlaid with the files.

    Each file holds a JSON object of values by path; null deletes a path.
    The VMs apply the same validation rules. Raise CommandError.
    """
    if not files and service is None:
        raise CommandError(
            ExitCode.INVALID,
            'no settings files and no configuration service (--config) given',
        )
    tree = SettingsTree(0, {})
    if service is not None:
        tree = await read_settings_tree(service)
    json_by_path: dict[str, Any] = {}
    for file in files:
        json_by_path.update(_read_values(file))
    return find_errors(tree, json_by_path)


def find_errors(
    tree: SettingsTree,
    json_by_path: dict[str, Any],
) -> list[SettingsError]:
    """Return the errors that the tree would have with the new values."""
    store = SettingsStore()
    revision = tree.revision + 1
    store.apply(
        {
            **tree.values_by_path,
            **{
                path: SettingsValue(revision, json_value)
                for path, json_value in json_by_path.items()
            },
        },
        revision,
    )
    return store.errors


def _read_values(file: pathlib.Path) -> dict[str, Any]:
    content = read_json_file(file)
    if not isinstance(content, dict):
        raise CommandError(
            ExitCode.INVALID,
            f'{file}: not a JSON object of values by settings path',
        )
    return content
