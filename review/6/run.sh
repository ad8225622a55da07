#!/bin/sh
# Plays the case and writes record.txt beside this file; see claim.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
exec python3 run.py
