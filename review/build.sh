#!/usr/bin/env bash
# The stand-ins are Python files of the standard library alone; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q stand_ins.py */case.py
find . -name __pycache__ -type d -prune -exec rm -rf {} +
