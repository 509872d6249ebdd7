#!/usr/bin/env bash
# Prepare the stand-ins of cases 6 to 10.  They are Python without any
# dependency, so this only checks that the interpreter can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for pattern in ("[6-9]/*.py", "10/*.py"):
    for file in sorted(pathlib.Path(".").glob(pattern)):
        ast.parse(file.read_text(encoding="utf-8"), str(file))
PYTHON
