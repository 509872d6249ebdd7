#!/usr/bin/env bash
# The stand-ins are plain Python without packages: check that each of
# them compiles, and that the build of the deploy file has been made.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py */run.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
[ -d ../target/deps ] || { echo "run the build of deploy/system.toml first"; exit 1; }
