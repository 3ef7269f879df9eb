#!/usr/bin/env bash
# Builds the stand-ins of the cases. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -buildvcs=false -o target/review/casetool ./review/_standin/platform
