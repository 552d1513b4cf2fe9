#!/usr/bin/env bash
# Builds what the scripts of the cases start: stand-ins in Python, with the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q .
