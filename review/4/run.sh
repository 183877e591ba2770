#!/bin/sh
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Writes to record.txt in this folder what was sent, answered and run.
cd "$(dirname "$0")" && : >record.txt && exec python3 run.py
