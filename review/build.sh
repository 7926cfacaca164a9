#!/usr/bin/env bash
# Builds the stand-ins that the scripts start.
set -euo pipefail
cd "$(dirname "$0")/platform/standin"
mkdir -p ../../bin
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../bin/standin .
