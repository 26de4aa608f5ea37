#!/bin/sh
# Builds the stand-ins of the scripted cases of the second review. It needs no network: they have no dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cd review/stand-2
GOWORK=off GOFLAGS="${GOFLAGS:--buildvcs=false}" go build -o ../../target/review-2/stand-2 .
