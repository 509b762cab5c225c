#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Build first: the command of deploy/system.toml, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/deploy/burdockd ] && [ -x target/review-2/cases ] || exit 2
exec target/review-2/cases homes-in-a-restart review/10
