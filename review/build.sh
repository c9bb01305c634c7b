#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs no module from outside.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin .
