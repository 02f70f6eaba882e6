#!/usr/bin/env bash
# The scripts of the cases 6 to 10 start the program of the deploy file and stand-ins in Python (standins_2.py), which
# need no build. This only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import ast, sys; [ast.parse(open(name).read()) for name in sys.argv[1:]]' standins_2.py
