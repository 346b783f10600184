"""Tests of the validation of files before use."""

import pathlib
import subprocess
import sys
import tempfile
import unittest
from typing import Any

from jacinthcart.platform.check import find_errors
from jacinthcart.wire import encode_json
from tests.platform.test_documents import create_document
from tests.platform.test_settings_file import create_fields

_EXIT_INVALID = 2


class CheckTests(unittest.TestCase):
    """Each error is reported with its location."""

    def setUp(self) -> None:
        """Create a folder for the files."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'file.json'

    def test_valid_files_have_no_errors(self) -> None:
        """Errors for valid files would lead users to ignore the check."""
        self.assertEqual(self._check(create_document()), [])
        self.assertEqual(self._check(create_fields()), [])

    def test_all_errors_of_a_document_are_reported(self) -> None:
        """Guards against operators needing one attempt for each error."""
        document = create_document(version='x')
        document['routes'][0]['timeout_ms'] = 'soon'
        locations = [error.partition(':')[0] for error in self._check(document)]
        self.assertEqual(locations, ['version', 'routes.0.timeout_ms'])

    def test_route_needs_one_destination(self) -> None:
        """Guards against publishing a route that refuses every request."""
        document = create_document()
        document['routes'][1]['gather'] = None
        errors = self._check(document)
        self.assertEqual(len(errors), 1)
        self.assertIn('routes.1', errors[0])

    def test_error_of_a_settings_file_has_location_and_value(self) -> None:
        """Guards against settings with which a process exits at its start."""
        fields = create_fields()
        fields['metrics_port'] = 0
        error = self._check(fields)[0]
        self.assertIn('metrics_port', error)
        self.assertIn('found 0', error)

    def test_unreadable_file_is_an_error(self) -> None:
        """A misspelt path must not count as a valid file."""
        self.assertEqual(len(find_errors(self.path)), 1)
        self.path.write_text('{')
        self.assertEqual(len(find_errors(self.path)), 1)

    def test_command_exits_with_the_code_for_invalid_settings(self) -> None:
        """Scripts that publish a file rely on the exit code."""
        self.path.write_text('{}')
        completed = subprocess.run(
            (sys.executable, '-m', 'jacinthcart.platform.check', self.path),
            capture_output=True,
            check=False,
        )
        self.assertEqual(completed.returncode, _EXIT_INVALID)
        self.assertIn(b'version', completed.stderr)

    def _check(self, fields: dict[str, Any]) -> list[str]:
        self.path.write_bytes(encode_json(fields))
        return find_errors(self.path)


if __name__ == '__main__':
    unittest.main()
