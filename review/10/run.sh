#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exit code 1: the rule was broken, 0: it held, 2: it could not run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
for program in bin/tealtiller review/bin/peers; do
  [ -x "$program" ] || { echo "$program is missing: build it first" >&2; exit 2; }
done
timeout -s KILL 118 review/bin/peers crowded-discovery "$folder"
code=$?
[ $code -le 2 ] || code=2
exit $code
