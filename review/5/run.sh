#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case couldn't run. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/case.py"
