#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
