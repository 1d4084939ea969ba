#!/bin/bash
# The scripts' stand-ins are Python of the standard library: nothing is compiled, what they need is checked.
cd "$(dirname "$0")" || exit 1
python3 -B - <<'PY'
import ast, asyncio, ctypes, pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed (asyncio.timeout)")
ctypes.CDLL(None).prctl
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PY
