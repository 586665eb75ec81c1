#!/bin/sh
# Plays the case; with TROUBLE=0 without the disruption. It needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/stand ] || exit 2
exec review/bin/stand -case cuts -record review/2/record.txt
