#!/usr/bin/env bash
# The stand-ins are Python programs that need the standard library alone; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [1-5]/case.py <<'CHECK'
import sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
    print("ok", name)
CHECK
