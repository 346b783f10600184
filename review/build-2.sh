#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They need the standard library alone,
# and xxhash from the build of the deploy file; nothing is fetched.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/kit2
PYTHONPATH=target/deps python3 -c 'import xxhash'
python3 -c 'import sys; sys.path.insert(0, "review"); import kit2.stands'
