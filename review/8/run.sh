#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it cannot run.
# TROUBLE=0 plays it without the disruption. Needs the builds of the deploy file and of
# review/build-2.sh.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps ] || exit 2
python3 -c "import tomllib" || exit 2
exec python3 case.py
