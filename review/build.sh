#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start. The programs of the
# project are built by the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin review/standin/*.go
