#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and
# review/build.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/fpsidecar ] && [ -x review/.bin/_rig ] || { echo "build first" >&2; exit 2; }
timeout -k 2 110 review/.bin/_rig crash "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
