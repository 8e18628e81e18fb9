#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/.." || exit 2
TROUBLE="${TROUBLE:-1}"
PYTHONPATH="$PWD" exec python3 5/case.py --trouble "$TROUBLE"
