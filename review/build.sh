#!/usr/bin/env bash
# Prepares the stand-ins of the scripts. They are Python modules that use only
# the standard library, so there is nothing to compile; this checks that the
# interpreter can run them and that the build of the deploy file has been made.
cd "$(dirname "$0")/.." || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
  echo 'Python 3.11 or newer is needed'
  exit 1
}
[ -d target/deps ] || {
  echo 'target/deps is missing: run the build of deploy/system.toml first'
  exit 1
}
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 python3 -c '
import review.kit.caller
import review.kit.case
import review.kit.deployment
import review.kit.searcher
import review.kit.store
'
