#!/usr/bin/env bash
# The scripts of cases 4 to 8 start the project's nodes and stand-ins of their own, which
# are plain Python of the standard library: there is nothing to compile, only to check.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
    { echo "Python 3.11 or later is needed" >&2; exit 1; }
[ -d target/deps ] || { echo "run the line build of deploy/system.toml first" >&2; exit 1; }
for file in review/lib2/stage.py review/[4-8]/case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
