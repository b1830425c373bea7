#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
timeout --kill-after=5 115 python3 case.py
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
