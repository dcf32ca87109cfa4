#!/bin/sh
# Builds the stand-ins of the second review: they need nothing but CPython's standard library.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/standins2 review/4 review/5 review/6
