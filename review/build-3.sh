#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review -o target/review-3/world ./review/world-3
