"""Starts the emulators, sets their faults and reads their counters."""

import collections
import contextlib
import itertools
import pathlib
import subprocess
import time
from collections.abc import Iterator
from typing import Any

import httpx
import orjson

from jacinthcart_emulator import SearchersFile, SearcherSpec
from jacinthcart_lab._processes import FleetError, spawn

CONFIG_ADDRESS = '127.0.3.1'
CALL_TIMEOUT_S = 5
_SEARCHERS_PER_PROCESS = 24
_POLL_S = 0.1


class Emulators:
    """The configuration service and the searchers of one fleet."""

    def __init__(self, folder: pathlib.Path, ports: Iterator[int]) -> None:
        """Allocate a port for the configuration service; `start` starts it."""
        self.config_port = next(ports)
        self.config_url = f'http://{CONFIG_ADDRESS}:{self.config_port}'
        #: URL of each searcher process to set faults and read counters.
        self.control_urls: list[str] = []
        self._folder = folder
        self._ports = ports
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self, specs: list[SearcherSpec]) -> None:
        """Start the configuration service and every searcher."""
        self._processes.append(
            spawn(
                self._folder / 'emulator-config.log',
                'jacinthcart_emulator',
                'config',
                '--address',
                CONFIG_ADDRESS,
                '--port',
                str(self.config_port),
            ),
        )
        for start in range(0, len(specs), _SEARCHERS_PER_PROCESS):
            chosen = specs[start : start + _SEARCHERS_PER_PROCESS]
            self._start_searchers(tuple(chosen))
        wait_for_url(f'{self.config_url}/v1/vms')
        for url in self.control_urls:
            wait_for_url(f'{url}/emulator/counts')

    def put(self, values: dict[str, Any]) -> int:
        """Publish settings values by path; return the revision."""
        reply = self._post(
            f'{self.config_url}/emulator/put', {'values': values}
        )
        return int(reply['revision'])

    def set_config_fault(self, **fault: Any) -> None:
        """Set faults of the configuration service."""
        self._post(f'{self.config_url}/emulator/fault', fault)

    def set_searcher_fault(self, searcher: str, **fault: Any) -> None:
        """Set faults of one searcher, or of all with `*`."""
        for url in self.control_urls:
            self._post(f'{url}/emulator/fault', {'searcher': searcher, **fault})

    def read_searcher_counts(self) -> dict[str, dict[str, Any]]:
        """Return the counters of every searcher by searcher id."""
        return self._read_by_searcher('counts')

    def count_submit_runs(self) -> collections.Counter[str]:
        """Return how often each submit ran on any searcher, by request id."""
        runs: collections.Counter[str] = collections.Counter()
        for runs_by_id in self._read_by_searcher('submits').values():
            runs.update(runs_by_id)
        return runs

    def read_config_calls(self) -> dict[str, int]:
        """Return the number of calls to the configuration service by kind."""
        url = f'{self.config_url}/emulator/counts'
        reply = httpx.get(url, timeout=CALL_TIMEOUT_S).json()
        return dict(reply['calls'])

    def close(self) -> None:
        """Kill every emulator."""
        for process in self._processes:
            process.kill()
            process.wait()

    def _read_by_searcher(self, name: str) -> dict[str, dict[str, Any]]:
        replies = [
            httpx.get(f'{url}/emulator/{name}', timeout=CALL_TIMEOUT_S).json()
            for url in self.control_urls
        ]
        return dict(itertools.chain.from_iterable(map(dict.items, replies)))

    def _start_searchers(self, specs: tuple[SearcherSpec, ...]) -> None:
        control_port = next(self._ports)
        name = f'searchers-{control_port}'
        file = self._folder / f'{name}.json'
        searchers_file = SearchersFile(
            control_address=CONFIG_ADDRESS,
            control_port=control_port,
            searchers=specs,
        )
        file.write_text(searchers_file.model_dump_json())
        self.control_urls.append(f'http://{CONFIG_ADDRESS}:{control_port}')
        self._processes.append(
            spawn(
                self._folder / f'{name}.log',
                'jacinthcart_emulator',
                'searchers',
                '--file',
                str(file),
            ),
        )

    def _post(self, url: str, message: dict[str, Any]) -> dict[str, Any]:
        response = httpx.post(
            url,
            content=orjson.dumps(message),
            timeout=CALL_TIMEOUT_S,
        )
        return dict(response.raise_for_status().json())


def wait_for_url(url: str, timeout_s: float = 30) -> None:
    """Wait until a GET of `url` succeeds; raise FleetError on timeout."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(httpx.TransportError):
            if httpx.get(url, timeout=CALL_TIMEOUT_S).is_success:
                return
        time.sleep(_POLL_S)
    raise FleetError(f'no successful response from {url} within {timeout_s} s')
