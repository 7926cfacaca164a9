#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/. It needs Go and no network. The daemon is built by
# the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/platform/standin-2"
mkdir -p ../../../target
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../../target/review-standin2 .
