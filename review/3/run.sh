#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH=review timeout -k 5 115 .venv/bin/python review/3/case.py
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
