"""Reads the versions in documents of the store."""

import pydantic

from jacinthcart.platform._keys import CONFIG_KEY, SERVER_PREFIX
from jacinthcart.readings import BaseContentVersions, ContentVersion


class _ConfigVersionBody(pydantic.BaseModel):
    version: int


class _ServerVersionBody(pydantic.BaseModel):
    born: int = 0
    sequence: int


class DocumentVersions(BaseContentVersions):
    """Versions of configurations and of entries of searchers."""

    def get_version(self, key: str, content: bytes) -> ContentVersion | None:
        """Return the version; None for other and for invalid documents."""
        try:
            if key == CONFIG_KEY:
                config = _ConfigVersionBody.model_validate_json(content)
                return (config.version,)
            if key.startswith(SERVER_PREFIX):
                entry = _ServerVersionBody.model_validate_json(content)
                return entry.born, entry.sequence
        except pydantic.ValidationError:
            return None
        return None
