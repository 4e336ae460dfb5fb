#!/bin/sh
# The stand-ins are Python of the standard library alone, in `review/standins`. Run after the build of the deploy file;
# it compiles them once, so that no script writes into the project's folder but its own `record.txt`.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
exec .venv/bin/python -m compileall -q review/standins review/1 review/2 review/3
