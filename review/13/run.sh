#!/bin/bash
# Plays the case and writes record.txt beside this file. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
for program in target/deploy/burdockd target/review-3/standins; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: build as the deploy file says, and run review/build-3.sh"
        exit 2
    fi
done
exec target/review-3/standins late-report "$here/record.txt"
