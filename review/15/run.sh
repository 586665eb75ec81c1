#!/bin/sh
# Runs the case after the build of the deploy file and review/build-3.sh, and writes record.txt beside this script. TROUBLE=0 leaves the
# disruption out. Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/magnoliawalk ] || [ ! -x target/review-3/world ]; then
  echo "the case cannot run: build the deploy file's target and review/build-3.sh first" | tee "$here/record.txt" >&2
  exit 2
fi
RECORD="$here/record.txt" exec target/review-3/world dropped-policy
