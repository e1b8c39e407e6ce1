#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
python=../../.venv/bin/python
test -x "$python" || exit 2
exec "$python" case.py
