#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/standin-2 && GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2 .)
