#!/bin/sh
# Runs case $1 from the root, and ends all that it started, however the case or this script is ended.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
folder=$(mktemp -d) || exit 2
TMPDIR=$folder PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 timeout -k 3 114 .venv/bin/python "review/$1/case.py" &
case_pid=$!
trap 'kill -TERM $case_pid 2>/dev/null' TERM INT HUP
wait $case_pid
code=$?
while kill -0 $case_pid 2>/dev/null; do # a trap has interrupted the wait
    wait $case_pid
    code=$?
done
# Client proxies that a killed case has left: the processes whose configuration lies in this run's own folder.
for process in /proc/[0-9]*; do
    if grep -qzs "^LB_CONFIG=$folder/" "$process/environ"; then kill -KILL "${process#/proc/}" 2>/dev/null; fi
done
rm -rf "$folder"
case $code in 0) exit 0 ;; 11) exit 1 ;; *) exit 2 ;; esac # 1 is an error of a stand-in, or an end from outside
