#!/usr/bin/env bash
# Builds what the scripts start beside the programs of deploy/system.toml. The stand-ins are Python and need its standard
# library only, so this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for source in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(source.read_text(encoding="utf-8"), str(source), "exec")
    print("compiles:", source)
PYTHON
