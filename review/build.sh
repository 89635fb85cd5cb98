#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases; run it after the build of the deploy file. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/[0-9]*/; do
	name=$(basename "$folder")
	CGO_ENABLED=0 go build -o "review/bin/case$name" "./review/$name"
done
