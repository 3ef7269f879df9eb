#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Run it in the root of the repository, after
# the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/_standin2/platform
