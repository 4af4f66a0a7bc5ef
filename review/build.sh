#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The program under test comes from the
# build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/.bin/ ./review/_rig
