#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start. The programs of the
# project are built by the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
# The standard library is all that they need, so that nothing is fetched.
GOWORK=off CGO_ENABLED=0 go build -o target/review-standin review/standin/*.go
