#!/bin/sh
# Builds the stand-ins that the scripts of review/9 to review/13 start. They are Python
# programs that use the packages of the deploy file's build: nothing is compiled, so this
# checks that each of them, and the project's own that they extend, can be loaded.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=".:src:target/deps" exec python3 -c '
import importlib
import sys

sys.path.insert(0, "review")
for name in ("standins.platform", "standins.platform_site", "lib3.workers", "lib3.case"):
    importlib.import_module(name)
'
