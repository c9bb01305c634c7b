#!/usr/bin/env bash
# Builds the stand-in that the cases of the second review start, into target/. Needs Go only, and no network.
set -euo pipefail
cd "$(dirname "$0")/standin2"
go build -o ../../target/standin2 .
