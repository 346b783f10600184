"""Tests of the address lists returned to callers."""

import unittest
from typing import Any

from jacinthcart.ownership import find_token_owners
from tests.entry._harness import (
    PREFIX,
    SETTINGS,
    WORKSPACE,
    Harness,
    run_virtual,
)

VM_IDS = frozenset(('vm1', 'vm2', 'vm3', 'vm4'))


async def list_vms(harness: Harness, query: str = '') -> list[str]:
    """Return the ids of the VMs in an address list."""
    response = await harness.client.get(f'/v1/addresses{query}')
    return [entry['vm'] for entry in response.json()['addresses']]


def data_centre_out(name: str) -> dict[str, Any]:
    """Return the settings that take a data centre out of service."""
    return {'fleet/data_centres': {'state_by_name': {name: 'out'}}}


class AddressesTest(unittest.TestCase):
    """Address lists contain the VMs that accept requests."""

    def test_answer_has_addresses_lifetime_and_prefix(self) -> None:
        """Guards against an answer without a field that callers need."""

        async def test(harness: Harness) -> None:
            response = await harness.client.get('/v1/addresses')
            message = response.json()
            self.assertEqual(message['keep_for_ms'], 5000)
            self.assertEqual(message['request_id_prefix'], PREFIX)
            self.assertIn(
                {
                    'vm': 'vm3',
                    'address': '127.0.0.3',
                    'port': 7001,
                    'data_centre': 'dc2',
                },
                message['addresses'],
            )
            harness.gather.prefix = None
            response = await harness.client.get('/v1/addresses')
            self.assertIn('request_id_prefix', response.json())

        run_virtual(test)

    def test_prefix_is_cached_for_one_second_and_then_omitted(self) -> None:
        """Guards against request ids with the prefix of a stopped gather."""

        async def test(harness: Harness) -> None:
            now = 0.0
            harness.feed.clock = lambda: now
            await harness.client.get('/v1/addresses')
            harness.gather.prefix = None
            now = 1.0
            response = await harness.client.get('/v1/addresses')
            self.assertNotIn('request_id_prefix', response.json())
            self.assertEqual(len(harness.gather.calls), 2)

        run_virtual(test)

    def test_token_owners_and_own_data_centre_are_listed_first(self) -> None:
        """Guards against avoidable borrowing and cross-data-centre calls."""

        async def test(harness: Harness) -> None:
            harness.feed.put({'fleet/policy': {'share_spread': 2}})
            owners = set(find_token_owners(WORKSPACE, VM_IDS, 2))
            vms = await list_vms(harness, f'?workspace={WORKSPACE}')
            self.assertEqual(set(vms[:2]), owners)
            for group in (vms[:2], vms[2:]):
                local = [vm in {'vm1', 'vm2'} for vm in group]
                self.assertEqual(local, sorted(local, reverse=True))

        run_virtual(test)

    def test_leaving_missing_and_out_vms_are_omitted(self) -> None:
        """Guards against sending callers to VMs that are being removed."""

        async def test(harness: Harness) -> None:
            harness.feed.live_vms = {
                'vm1': 'live',
                'vm2': 'leaving',
                'vm3': 'live',
            }
            self.assertEqual(set(await list_vms(harness)), {'vm1', 'vm3'})
            harness.feed.put(data_centre_out('dc2'))
            self.assertEqual(await list_vms(harness), ['vm1'])

        run_virtual(test)

    def test_own_vm_is_omitted_without_lease_and_when_leaving(self) -> None:
        """Guards against a VM listing itself while it refuses requests."""

        async def test(harness: Harness) -> None:
            harness.feed.lease_until = 0
            self.assertEqual(set(await list_vms(harness)), VM_IDS - {'vm1'})
            harness.feed.lease_until = float('inf')
            self.assertEqual(set(await list_vms(harness)), VM_IDS)
            harness.components.drain.announce()
            self.assertEqual(set(await list_vms(harness)), VM_IDS - {'vm1'})

        run_virtual(test)

    def test_all_vms_when_none_qualifies(self) -> None:
        """Guards against a stale list leaving callers without addresses."""

        async def test(harness: Harness) -> None:
            harness.feed.live_vms = {'vm8': 'live'}
            harness.feed.lease_until = 0
            self.assertEqual(set(await list_vms(harness)), VM_IDS)

        run_virtual(test)

    def test_own_address_before_a_roster_is_received(self) -> None:
        """Guards against an error on a VM that has no roster yet."""

        async def test(harness: Harness) -> None:
            harness.feed.put({path: None for path in SETTINGS})
            self.assertEqual(await list_vms(harness), ['vm1'])

        run_virtual(test)

    def test_malformed_workspace_is_refused(self) -> None:
        """Guards against a mistyped workspace that gets an unordered list."""

        async def test(harness: Harness) -> None:
            response = await harness.client.get('/v1/addresses?workspace=a')
            self.assertEqual(response.status_code, 400)

        run_virtual(test)
