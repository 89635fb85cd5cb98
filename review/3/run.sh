#!/usr/bin/env bash
# Plays case 3. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it does the
# same without the disruption. What was sent, answered and run is written to record.txt in this folder.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -x bin/larkrouter ] && [ -x review/bin/case3 ] || { echo 'run the build of the deploy file and review/build.sh first'; exit 2; }
exec review/bin/case3 "$here/record.txt" "$run"
