#!/usr/bin/env bash
# Compiles the stand-ins that the scripts start; they are Python and need no library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-5]
