#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't be run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 exec python3 "$folder/case.py"
