#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exit code: 1 rule broken, 0 rule held, 2 could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/magnoliawalk ] && [ -x target/review-world-2 ] || { echo "run the build of the deploy file and review/build-2.sh first"; exit 2; }
timeout -k 2 115 target/review-world-2 case late-job "$folder/record.txt" &
play=$!
# The stand-in ends the processes that it started when it ends itself, also if it is stopped early.
trap 'kill "$play" 2>/dev/null; wait "$play"; exit 2' INT TERM HUP
wait "$play"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
