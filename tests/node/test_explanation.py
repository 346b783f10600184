"""Tests of the explanation of requests by a VM."""

import json
import random
from typing import Any
from unittest import TestCase, mock

import anyio

from jacinthcart.catalogue import SearcherState, WorkspaceConfig
from jacinthcart.errors import InvalidMessageError
from jacinthcart.node import Node
from jacinthcart.platform.settings_file import decode_settings
from jacinthcart.readings import BaseStore
from jacinthcart.routing import BaseSearcherCodec
from jacinthcart_lab.platform_deployment import DeploymentParameters
from tests.admin.test_command import run
from tests.node.test_path import NodeFixture
from tests.platform.test_settings_file import create_fields
from tests.support import (
    ManualClock,
    create_catalogue,
    create_route,
    create_searcher,
    run_in_virtual_time,
)

_SHARDS = ('shard-0', 'shard-1')


class ExplanationTests(TestCase):
    """Explanations of a VM that is not started."""

    def setUp(self) -> None:
        """Create a VM with a recent proof and no configuration."""
        self.clock = ManualClock()
        self.node = Node(
            decode_settings(create_fields()),
            mock.create_autospec(BaseStore, instance=True),
            mock.create_autospec(BaseSearcherCodec, instance=True),
            proof_prefix='',
            clock=self.clock,
            random_source=random.Random(1),
        )
        self.node.lease.record_own_read(self.clock())

    def test_refusals_before_a_choice(self) -> None:
        """Guards against explaining a choice that is never reached."""
        self.assertIn('no configuration', self._explain('/a/').refusal)
        self._configure()
        self.assertEqual(self._explain('/x/').refusal, 'unknown_route')
        self.assertIsNone(self._explain('/a/').refusal)
        self.clock.advance(60)
        for path in ('/a/', '/x/'):
            self.assertIn('last proof is', self._explain(path).refusal)

    def test_workspace_sets_the_priority_and_takes_no_token(self) -> None:
        """Guards against an explanation that uses up a workspace's rate."""
        self._configure()
        tokens = self.node.describe_quotas()
        for _ in range(100):
            explanation = self._explain('/a/q', 'mill')
            self.assertEqual(explanation.admitted.priority, 4)
        self.assertEqual(self.node.describe_quotas(), tokens)
        for workspace in ('unknown', ''):
            with self.assertRaises(InvalidMessageError):
                self._explain('/a/q', workspace)

    def test_each_shard_and_overload_control_are_explained(self) -> None:
        """Guards against an answer without the part that decides."""
        self._configure()
        explanation = self._explain('/q/')
        self.assertEqual(
            [one.service for one in explanation.services], list(_SHARDS)
        )
        ids = [one.choice.chosen[0].searcher_id for one in explanation.services]
        self.assertEqual(ids, ['shard-0.1', 'shard-1.1'])
        self.assertEqual(explanation.overload.competing, (('q', 1),))
        self.assertEqual(explanation.overload.admitted_fraction, 1)
        self._publish(SearcherState.DRAINING)
        explanation = self._explain('/q/')
        self.assertEqual(explanation.unserved, _SHARDS)
        self.assertIn('no searcher', explanation.refusal)
        self.assertIn('no searcher', self._explain('/a/').refusal)

    def test_shard_named_twice_is_counted_once(self) -> None:
        """Guards against refusing a query for one shard counted twice."""
        route = create_route('d', shares=(), shards=('shard-0', 'shard-0'))
        self.node.catalogue_state.update_catalogue(create_catalogue(route))
        self.assertEqual(self._explain('/d/').unserved, ('shard-0',))

    def _explain(self, path: str, workspace: str | None = None) -> Any:
        return run_in_virtual_time(
            self.node.explainer.explain, 'shop.example', path, workspace
        )

    def _configure(self) -> None:
        catalogue = create_catalogue(
            create_route('a'),
            create_route('q', shares=(), shards=_SHARDS, min_shard_fraction=1),
        )
        catalogue.workspaces_by_name['mill'] = WorkspaceConfig('mill', 4, 1, 1)
        self.node.catalogue_state.update_catalogue(catalogue)
        self._publish(SearcherState.READY)

    def _publish(self, state: SearcherState) -> None:
        self.node.catalogue_state.apply_searcher_changes(
            {
                f'{shard}.1': create_searcher(
                    f'{shard}.1', service=shard, state=state
                )
                for shard in _SHARDS
            }
        )


class CommandTests(TestCase):
    """The command against a VM over loopback sockets."""

    def test_command_explains_and_sends_nothing(self) -> None:
        """Guards against an explanation that reaches a searcher."""

        async def scenario(fixture: NodeFixture) -> None:
            deployment = fixture.deployment
            settings = decode_settings(deployment.create_settings(0))
            address = f'{settings.operators.address}:{settings.operators.port}'

            async def explain(*arguments: str) -> tuple[int, str, str]:
                return await anyio.to_thread.run_sync(
                    run,
                    'vm-explain',
                    '--address',
                    address,
                    '--host',
                    'shop.example',
                    *arguments,
                )

            arrivals = len(deployment.arrivals)
            code, printed, _ = await explain('--path', '/search/q', '--json')
            answer = json.loads(printed[printed.index('{\n') :])
            explanation = answer['explanation']
            shards = deployment.list_services()[:-1]
            self.assertEqual(code, 0)
            self.assertEqual(explanation['admitted']['route']['name'], 'search')
            self.assertEqual(
                [one['service'] for one in explanation['services']], shards
            )
            code, printed, _ = await explain(
                '--path', '/search/q', '--service', shards[1]
            )
            self.assertIn('admitted fraction', printed)
            self.assertIn(f'{shards[1]}-0', printed)
            self.assertNotIn(f'{shards[0]}-0', printed)
            code, printed, _ = await explain('--path', '/order/q')
            self.assertEqual(code, 0)
            self.assertIn('orders-0', printed)
            self.assertIn('slowdown', printed)
            code, printed, _ = await explain('--path', '/unknown')
            self.assertEqual(code, 1)
            self.assertIn('refused: unknown_route', printed)
            code, _, errors = await explain('--path', '/', '--workspace', 'x')
            self.assertEqual(code, 1, errors)
            code, _, errors = await explain(
                '--path', '/order/', '--workspace', 'x'
            )
            self.assertEqual(code, 2)
            self.assertIn('unknown workspace x', errors)
            self.assertEqual(len(deployment.arrivals), arrivals)

        anyio.run(NodeFixture(DeploymentParameters()).run, scenario)
