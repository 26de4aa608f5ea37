#!/usr/bin/env bash
# Builds the program with the stand-ins of the cases 11 to 15, from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/stand-3"
mkdir -p ../../target/review-3
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-3/stand .
