#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x bin/tealtiller ] || { echo "build first: the build line of deploy/balancer.toml, then review/build.sh" >&2; exit 2; }
exec review/bin/standin restart-last review/3
