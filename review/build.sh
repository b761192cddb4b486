#!/bin/sh
# The stand-ins are Python files that need the standard library alone; the project's build makes their interpreter.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/common review/1 review/2 review/3
