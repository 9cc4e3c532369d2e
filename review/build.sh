#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: compiles them and checks that they can be loaded.
# The libraries are those that the build of deploy/system.toml put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")' review/harness.py review/[0-9]/case.py
python3 -c 'import sys; sys.path.insert(0, "review"); import harness'
