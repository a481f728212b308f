#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. Needs only the Go standard library.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -o ../../target/review .
