"""`jacinthcart check`: validates settings before or after a change."""

import pathlib
from collections.abc import Sequence
from typing import Any

from jacinthcart.admin._errors import CommandError, ExitCode
from jacinthcart.admin._roster import TreeState, read_json_file, read_tree
from jacinthcart.errors import SettingsError
from jacinthcart.settings import Endpoint, SettingsStore, SettingsValue


async def check_settings(
    files: Sequence[pathlib.Path],
    service: Endpoint | None,
) -> list[SettingsError]:
    """Return every error of the files, laid over the service's tree.

    Each file holds one JSON object of values by path; null deletes a path.
    The VMs validate with the same rules. Raise CommandError.
    """
    if not files and service is None:
        raise CommandError(
            ExitCode.INVALID,
            'name settings files or the configuration service (--config)',
        )
    tree = TreeState(0, {})
    if service is not None:
        tree = await read_tree(service)
    json_by_path: dict[str, Any] = {}
    for file in files:
        json_by_path.update(_read_values(file))
    return find_errors(tree, json_by_path)


def find_errors(
    tree: TreeState,
    json_by_path: dict[str, Any],
) -> list[SettingsError]:
    """Return the errors of the tree after the values are published."""
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
            f'{file}: not an object of values by path',
        )
    return content
