#!/bin/bash
# usage: case.sh FOLDER CASE. Plays a case of the review and writes FOLDER/record.txt.
cd "$(dirname "$0")/../.." || exit 2
rig=review/.bin/rig3
if [ ! -x "$rig" ] || [ ! -x target/fpsidecar ]; then
  echo "build first: the build line of deploy/system.toml and review/build-3.sh" >&2
  exit 2
fi
exec "$rig" "$2" . "$1/record.txt"
