#!/bin/sh
# Builds the stand-ins that the cases start. They are Python programs of `review/standins`, which
# need nothing but its standard library, so there is nothing to compile; this checks that they can
# be read. The cases start the release build of the daemon, as the deploy file builds it.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'END'
import ast, glob, sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for path in glob.glob("standins/*.py") + glob.glob("*/run.py"):
    ast.parse(open(path).read(), path)
print("the stand-ins are readable")
END
