#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python programs that use
# the standard library only, so there is nothing to compile; this checks that
# they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-3/*.py <<'PY'
import sys
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
PY
