#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder. They need the Go standard library only, so no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
cd review/stand
GOWORK=off GOFLAGS="${GOFLAGS:--buildvcs=false}" go build -o ../../target/review/stand .
