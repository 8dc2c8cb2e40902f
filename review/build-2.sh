#!/bin/sh
# Builds what the scripts in review/4 to review/8 start beside the program of the deploy file. Their
# stand-ins are Python 3 programs without further libraries, so there is nothing to build: this checks
# that they can be read by the Python that is here.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in [*pathlib.Path("standins-2").glob("*.py"), *(pathlib.Path(str(n), "run.py") for n in range(4, 9))]:
    compile(path.read_text(), str(path), "exec")
PY
