#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: they need the standard library only, so
# that this compiles them and fails where the interpreter is too old.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile lib/*.py */case.py
