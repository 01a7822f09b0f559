#!/usr/bin/env bash
# Builds the stand-ins that the scripted cases start, with Go's own library only, into target/.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin .
