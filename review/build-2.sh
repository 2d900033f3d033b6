#!/bin/sh
# Prepares the stand-ins of the cases in review/6 to review/10. They are Python scripts in review/lib-2 that need nothing
# but the interpreter and its own library, so nothing is compiled; this checks that they can be read.
cd "$(dirname "$0")" || exit 1
exec python3 - lib-2/*.py [6-9]/*.py 10/*.py <<'CHECK'
import pathlib
import sys

for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        compile(pathlib.Path(name).read_text(), name, "exec")
CHECK
