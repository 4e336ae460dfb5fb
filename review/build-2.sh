#!/bin/sh
# Run once after the build of the deploy file, and before the scripts of cases 6 to 10. Their stand-ins are Python
# programs of this folder that need nothing but the standard library, so there is nothing to compile: this checks that
# they load with the interpreter of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "build-2.sh: run the build of deploy/balancer.toml first" >&2; exit 2; }
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python -c \
    'import review.stand_ins_2.case, review.stand_ins_2.client, review.stand_ins_2.discovery, review.stand_ins_2.host'
