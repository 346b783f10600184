"""Client of the platform's configuration service and VM list."""

import abc
from typing import Any

from jacinthcart.errors import InvalidMessageError
from jacinthcart.settings import Endpoint
from jacinthcart.sync._messages import WatchChanges, decode_watch_changes
from jacinthcart.sync._reader import read_json
from jacinthcart.telemetry import Metrics
from jacinthcart.wire import ConnectionPool

#: One connection is occupied by the watch while the other reads the VM list.
_CONNECTIONS = 2
#: Timeout of a call, counted from the end of `wait_s` for a watch call.
_RESPONSE_MARGIN_S = 2.0
_VM_STATES = frozenset(('live', 'leaving'))


class BasePlatform(abc.ABC):
    """Reads settings and the VM list of the platform."""

    @abc.abstractmethod
    async def watch(self, after: int, wait_s: float) -> WatchChanges:
        """Return the values changed after revision `after`.

        Return no values when nothing changed within `wait_s` seconds.
        Raise WireError or InvalidMessageError.
        """

    @abc.abstractmethod
    async def list_vms(self) -> dict[str, str]:
        """Return the state by id of each VM that is `live` or `leaving`.

        Raise WireError or InvalidMessageError.
        """


class PlatformClient(BasePlatform):
    """Reads the platform over HTTP."""

    def __init__(self, service: Endpoint, metrics: Metrics) -> None:
        """Create the client; connections open on demand."""
        self._metrics = metrics
        self._pool = ConnectionPool(
            service.address,
            service.port,
            _CONNECTIONS,
        )

    async def watch(self, after: int, wait_s: float) -> WatchChanges:
        """Return the values changed after revision `after`."""
        message = await read_json(
            self._pool,
            f'/v1/watch?after={after}&wait_s={wait_s:g}',
            wait_s + _RESPONSE_MARGIN_S,
            self._metrics,
        )
        return decode_watch_changes(message)

    async def list_vms(self) -> dict[str, str]:
        """Return the state by id of each VM that is `live` or `leaving`."""
        message = await read_json(
            self._pool,
            '/v1/vms',
            _RESPONSE_MARGIN_S,
            self._metrics,
        )
        return _decode_vms(message)

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()


def _decode_vms(message: Any) -> dict[str, str]:
    try:
        state_by_vm = {
            vm_id: entry['state'] for vm_id, entry in message['vms'].items()
        }
    except (AttributeError, KeyError, TypeError) as error:
        raise InvalidMessageError(f'VM list: {error!r}') from error
    return {
        vm_id: state
        for vm_id, state in state_by_vm.items()
        if state in _VM_STATES
    }
