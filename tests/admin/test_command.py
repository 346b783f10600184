"""Tests of subcommands that do not need a running fleet."""

import contextlib
import hashlib
import io
import json
import pathlib
import tempfile
import unittest

import cappa

from jacinthcart.admin._command import OperatorCommand
from jacinthcart.admin._histograms import merge_histograms
from jacinthcart.admin._settings_page import create_settings_page
from jacinthcart.telemetry import Metrics

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'settings.md'
KEY = ('request', 'team/one', 'priority')


def run(*arguments):
    """Run the command; return exit code, output and error output."""
    printed = io.StringIO()
    errors = io.StringIO()
    with (
        contextlib.redirect_stdout(printed),
        contextlib.redirect_stderr(errors),
    ):
        try:
            cappa.invoke(OperatorCommand, argv=list(arguments))
        except SystemExit as end:
            return end.code, printed.getvalue(), errors.getvalue()
    return 0, printed.getvalue(), errors.getvalue()


def export(values_ms):
    """Return the answer of a VM with one histogram."""
    metrics = Metrics()
    for value_ms in values_ms:
        metrics.record_seconds(KEY, value_ms / 1000)
    return {
        'histograms': {
            key: {'encoded': encoded}
            for key, encoded in metrics.export()['histograms'].items()
        },
    }


class CommandTest(unittest.TestCase):
    """Output and exit codes that operators depend on."""

    def test_check_names_each_error(self) -> None:
        """Guards against an invalid change passing the check."""
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / 'change.json'
            file.write_text(
                json.dumps(
                    {
                        'teams/team/workspaces/one': {'rate': -1, 'burst': 9},
                        'teams/team/keys/one': {'sha256_digests': []},
                        'fleet/unknown': 1,
                    },
                ),
            )
            code, _, errors = run('check', str(file))
        self.assertEqual(code, 2)
        self.assertEqual(
            sorted(line.split(': ')[0] for line in errors.splitlines()),
            ['fleet/unknown', 'teams/team/workspaces/one/rate'],
        )

    def test_key_is_written_for_its_owner_only(self) -> None:
        """Guards against a key file readable by others or overwritten."""
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / 'caller.key'
            code, printed, _ = run('key', '--write', str(file))
            key = file.read_text()
            mode = file.stat().st_mode & 0o777
            repeated, _, _ = run('key', '--write', str(file))
            self.assertEqual(file.read_text(), key)
        self.assertEqual((code, repeated, mode), (0, 1, 0o600))
        digest = hashlib.sha256(key.encode()).hexdigest()
        self.assertEqual(printed.strip(), digest)

    def test_histograms_are_added_not_averaged(self) -> None:
        """Guards against averaging the quantiles of VMs."""
        answers = {'a': export(1 for _ in range(99)), 'b': export([100])}
        merged = merge_histograms(answers)['request|team/one|priority']
        self.assertEqual(merged.count, 100)
        self.assertAlmostEqual(merged.p99_ms, 1, delta=0.1)
        self.assertAlmostEqual(merged.max_ms, 100, delta=1)

    def test_missing_key_and_unreachable_fleet(self) -> None:
        """Guards against errors with indistinguishable exit codes."""
        address = '127.0.0.1:1'
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / 'admin.key'
            fleet = ['--admin', address, '--admin-key-file', str(file)]
            self.assertEqual(run('status', *fleet)[0], 2)
            file.write_text('key')
            self.assertEqual(run('status', *fleet)[0], 3)
        self.assertEqual(run('check', '--config', address)[0], 3)

    def test_committed_page_matches_the_models(self) -> None:
        """Guards against an outdated docs/settings.md."""
        page = create_settings_page()
        self.assertEqual(PAGE.read_text(), page)
        rows = [line for line in page.splitlines() if line.startswith('| `')]
        without_effect = [row for row in rows if row.endswith('|  |')]
        self.assertEqual(without_effect, [])
