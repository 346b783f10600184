"""Tests of loading the experiment file and the keys."""

import os
import pathlib
import tempfile
import unittest

from jacinthcart.errors import SettingsError
from jacinthcart.load.__main__ import load_experiment, read_keys
from tests.load.samples import WORKSPACE, make_experiment


class ExperimentFileTest(unittest.TestCase):
    """Files and keys are loaded, or the error names the cause."""

    def setUp(self) -> None:
        """Create a folder for the files."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def test_written_experiment_is_read_back(self) -> None:
        """Guards against a field that cannot be serialised."""
        experiment = make_experiment()
        path = self.folder / 'experiment.json'
        path.write_text(experiment.model_dump_json())
        self.assertEqual(load_experiment(path), experiment)

    def test_error_names_a_missing_file(self) -> None:
        """Guards against a traceback instead of an error message."""
        with self.assertRaisesRegex(SettingsError, 'absent.json'):
            load_experiment(self.folder / 'absent.json')

    def test_keys_come_from_environment_or_file(self) -> None:
        """Guards against a run that silently sends no key."""
        file = self.folder / 'key'
        file.write_text('from-file\n')
        cases = (
            ({'key_environment': 'PATH'}, {'team/one': os.environ['PATH']}),
            ({'key_file': file}, {'team/one': 'from-file'}),
            ({}, {}),
        )
        for fields, keys in cases:
            self.assertEqual(self.read(fields), keys)
        for fields in (
            {'key_environment': 'LOAD_KEY_THAT_IS_NOT_SET'},
            {'key_file': self.folder / 'absent'},
        ):
            with self.assertRaises(SettingsError):
                self.read(fields)

    def read(self, fields: dict) -> dict[str, str]:
        """Return the keys of an experiment whose workspace has `fields`."""
        workspace = {**WORKSPACE.model_dump(), **fields}
        return read_keys(make_experiment(workspaces=[workspace]))
