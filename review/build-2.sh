#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the project's programs: bin/review-peers, which plays callers, call servers and the
# command channel on loopback. It uses the standard library alone, and needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=0 go build -o bin/review-peers ./review/peers-2
