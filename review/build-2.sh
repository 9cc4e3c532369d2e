#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 to 8 start: the project's own, and those of harness2.py.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q src/threadramp review/harness2.py
PYTHONPATH=target/deps:review python3 -c 'import harness2'
