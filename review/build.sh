#!/usr/bin/env bash
# Builds the stand-ins of the cases, which need nothing but Go's standard library.
set -euo pipefail
cd "$(dirname "$0")/tool"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-tool .
