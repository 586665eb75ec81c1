#!/usr/bin/env bash
# Builds the stand-in of the platform that the scripts of this review start, into target/. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/world-2"
mkdir -p ../../target
go build -o ../../target/review-world-2 .
