"""Reads the order of writes from documents of the store."""

import pydantic

from jacinthcart.platform._keys import CONFIG_KEY, SERVER_PREFIX
from jacinthcart.readings import BaseContentVersions


class _ConfigVersionBody(pydantic.BaseModel):
    version: int


class _ServerVersionBody(pydantic.BaseModel):
    born: int = 0
    sequence: int


class DocumentVersions(BaseContentVersions):
    """Compares configurations, and entries of one process of a searcher.

    Start times of processes tell no order: a clock may have been set back.
    """

    def is_older(self, key: str, content: bytes, other: bytes) -> bool:
        """Return whether `content` has a lower version; False if unknown."""
        try:
            if key == CONFIG_KEY:
                return _get_version(content) < _get_version(other)
            if key.startswith(SERVER_PREFIX):
                return _is_older_entry(content, other)
        except pydantic.ValidationError:
            return False
        return False


def _get_version(content: bytes) -> int:
    return _ConfigVersionBody.model_validate_json(content).version


def _is_older_entry(content: bytes, other: bytes) -> bool:
    entry = _ServerVersionBody.model_validate_json(content)
    later = _ServerVersionBody.model_validate_json(other)
    return entry.born == later.born and entry.sequence < later.sequence
