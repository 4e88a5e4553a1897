#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in review/4 and later. The program of the
# deploy file is built by its own command.
set -euo pipefail
cd "$(dirname "$0")/tool-2"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-2 .
