"""Tests of the platform's settings file."""

import unittest
from typing import Any

from jacinthcart.errors import SettingsError
from jacinthcart.overload import OverloadMode
from jacinthcart.platform.settings_file import decode_settings


def create_fields(**changes: Any) -> dict[str, Any]:
    """Return the minimal fields of a settings file."""
    fields = {
        'node_name': 'frontend-a-1',
        'ip': '10.1.0.17',
        'zone': 'a',
        'listen_addrs': {
            'frontend_addr': '10.1.0.17:8363',
            'ready': '10.1.0.17:8364',
            'directory': '10.1.0.17:8365',
        },
        'port_range': [7740, 7755],
        'seeds': ['10.1.0.17:8360', '10.2.0.28:8360'],
        'platform': {'address': '10.200.1.7:8361', 'form': 'read'},
        'bounds': {'revoke_ms': 4000, 'unknown': 1},
    }
    return {'platform_fields': {**fields, **changes}}


class DecodeSettingsTests(unittest.TestCase):
    """Fields are decoded into settings; errors name their location."""

    def test_fields_are_decoded(self) -> None:
        """Times are converted to seconds and seeds to addresses."""
        settings = decode_settings(create_fields())
        self.assertEqual(settings.bounds.key_s, 4)
        self.assertEqual(settings.seeds, ('10.1.0.17', '10.2.0.28'))
        self.assertEqual(settings.peer_port, 7740)

    def test_overload_control_acts_only_if_it_is_set(self) -> None:
        """Guards against refusals that no deployment has asked for."""
        fields = create_fields()
        self.assertIs(decode_settings(fields).overload_mode, OverloadMode.OFF)
        fields['overload_control'] = 'on'
        self.assertIs(decode_settings(fields).overload_mode, OverloadMode.ON)
        fields['overload_control'] = 'sometimes'
        with self.assertRaises(SettingsError):
            decode_settings(fields)

    def test_error_names_path_and_value(self) -> None:
        """Operators need to know which value to change."""
        with self.assertRaises(SettingsError) as caught:
            decode_settings(create_fields(bounds={'revoke_ms': 'soon'}))
        self.assertEqual(
            caught.exception.path, 'platform_fields.bounds.revoke_ms'
        )
        self.assertIn('soon', str(caught.exception))

    def test_missing_store_is_an_error(self) -> None:
        """No request can be served without the store."""
        with self.assertRaises(SettingsError):
            decode_settings(create_fields(platform={}))
