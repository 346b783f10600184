"""Tests of settings that change while a node runs."""

import dataclasses
import socket
import unittest

import anyio

from jacinthcart.errors import SettingsError
from jacinthcart.network import Endpoint
from jacinthcart.node import Node, NodeSettings
from jacinthcart.node._run import _start_metrics, reload_settings
from jacinthcart.platform.assembly import create_node
from jacinthcart.platform.settings_file import decode_settings
from tests.platform.test_settings_file import create_fields


class ReloadSettingsTests(unittest.TestCase):
    """A changed file is validated; an invalid one changes nothing."""

    def setUp(self) -> None:
        """Create a node."""
        self.node = create_node(decode_settings(create_fields()))[0]

    def test_new_seeds_take_effect_immediately(self) -> None:
        """Seeds may be replaced while the fleet runs."""
        fields = create_fields(seeds=['10.9.0.1:8360'])
        reload_settings(self.node, lambda: decode_settings(fields))
        self.assertEqual(self.node.settings.seeds, ('10.9.0.1',))

    def test_invalid_file_keeps_the_last_valid_settings(self) -> None:
        """An operator's mistake must not stop a VM."""

        def load() -> NodeSettings:
            raise SettingsError('platform_fields.ip', 'missing')

        before = self.node.settings
        reload_settings(self.node, load)
        self.assertIs(self.node.settings, before)


class MetricsPortTests(unittest.TestCase):
    """A metrics port in use must not prevent a VM from starting."""

    def test_port_in_use_is_logged_and_ignored(self) -> None:
        """Another process may use the metrics port, as it is fixed.

        All other ports come with the settings of each VM.
        """
        with socket.socket() as taken:
            taken.bind(('127.0.0.1', 0))
            taken.listen()
            port = taken.getsockname()[1]
            endpoint = Endpoint(address='127.0.0.1', port=port)
            settings = dataclasses.replace(
                decode_settings(create_fields()),
                metrics=endpoint,
            )
            node = create_node(settings)[0]
            anyio.run(self._start, node)

    async def _start(self, node: Node) -> None:
        async with anyio.create_task_group() as tasks:
            await _start_metrics(node, tasks)
            tasks.cancel_scope.cancel()
