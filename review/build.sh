#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. They are Python sources that
# need the standard library only, so that compiling them checks all there is.
cd "$(dirname "$0")" || exit 2
exec ../.venv/bin/python -m py_compile rig.py ./*/case.py
