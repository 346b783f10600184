"""Tests of the emulated configuration service."""

import unittest

from jacinthcart_emulator._config_state import ConfigState
from jacinthcart_emulator._models import ConfigFault


class ConfigStateTest(unittest.TestCase):
    """The emulated faults behave like those of the real service."""

    def setUp(self) -> None:
        """Publish two changes of one path."""
        self.now = 0.0
        self.state = ConfigState(clock=lambda: self.now)
        self.state.put({'fleet/policy': {}})
        self.state.put({'fleet/policy': None})

    def test_read_returns_the_newest_change_of_a_path(self) -> None:
        """Guards against a deletion that is not visible to readers."""
        entry = self.state.read_after(1)['values']['fleet/policy']
        self.assertEqual(entry, {'revision': 2, 'value': None})

    def test_stale_service_answers_as_of_an_older_revision(self) -> None:
        """Guards against a fault that has no effect."""
        self.state.apply_fault(ConfigFault(stale_at=1))
        self.assertEqual(self.state.read_after(0)['revision'], 1)
        self.assertEqual(self.state.read_after(1)['values'], {})

    def test_restart_discards_newer_changes(self) -> None:
        """Guards against a restart that keeps changes it must discard."""
        self.state.apply_fault(ConfigFault(restart_at=1))
        self.assertEqual(self.state.revision, 1)

    def test_vm_list_lags(self) -> None:
        """Guards against a VM list that is newer than the lag allows."""
        self.state.apply_fault(ConfigFault(vm_list_lag_s=5))
        self.now = 10
        self.state.apply_fault(ConfigFault(vms={'vm-1': 'live'}))
        self.assertEqual(self.state.read_vms(), {})
        self.now = 15
        self.assertEqual(self.state.read_vms(), {'vm-1': 'live'})
