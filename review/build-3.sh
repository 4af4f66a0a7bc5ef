#!/bin/bash
# Builds the stand-ins that the scripts of cases 11 to 15 start.
cd "$(dirname "$0")/.." || exit 2
exec go build -o review/.bin/rig3 ./review/_rig3
