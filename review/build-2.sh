#!/bin/sh
# Builds the stand-ins of the cases 4 and 6 to 8: plain Python of the standard library.
set -e
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=$(mktemp -d)
export PYTHONPYCACHEPREFIX
python3 -m py_compile review/standins_2.py review/[4678]/case.py review/tried-2/*/case.py
rm -rf "$PYTHONPYCACHEPREFIX"
