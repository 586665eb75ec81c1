#!/bin/sh
# Builds the stand-in that the scripts of the cases start. It needs nothing but the Go toolchain.
set -e
cd "$(dirname "$0")/stand"
GOFLAGS= GOTOOLCHAIN=local GOPROXY=off go build -o ../bin/stand .
