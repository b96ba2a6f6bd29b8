#!/bin/sh
# Builds the stand-ins that the scripts of review/ start. They are Python files of the
# standard library alone, so there is only something to check.
cd "$(dirname "$0")" || exit 1
python3 - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for path in pathlib.Path(".").glob("*/*.py"):
    ast.parse(path.read_text(), str(path))
PY
