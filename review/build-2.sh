#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/. The deploy file builds the node.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/_rig2
