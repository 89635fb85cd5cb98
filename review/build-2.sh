#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the project's programs: bin/review-case6 to bin/review-case10, which play callers, call
# servers and the command channel on loopback (review/peers-2). They use the standard library alone; the build needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
for number in 6 7 8 9 10; do
	CGO_ENABLED=0 go build -o "bin/review-case$number" "./review/$number"
done
