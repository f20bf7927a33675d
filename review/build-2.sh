#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start: one module of
# Python's standard library only. The programs themselves are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/fleet_2
