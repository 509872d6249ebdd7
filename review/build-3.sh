#!/usr/bin/env bash
# Checks the stand-ins of the cases 11 to 15, which need only Python.
set -euo pipefail
cd "$(dirname "$0")"
python3 - 1[1-5]/*.py <<'PROGRAM'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
PROGRAM
