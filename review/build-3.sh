#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-rig3 ./review/rig3
