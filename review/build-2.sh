#!/usr/bin/env bash
# Builds the stand-ins that the scripted cases 6 to 10 start into target/. It needs the build of the deploy file and no
# further module.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOPROXY=off go build -o target/review-2 ./review/_stand2
