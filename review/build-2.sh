#!/bin/sh
# Prepares the stand-ins of the second review, which are Python and need only the run-time packages' interpreter.
# Run it after the build of the deploy file; it needs no network.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/stand_ins_2
