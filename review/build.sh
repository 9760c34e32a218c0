#!/usr/bin/env bash
# Builds the stand-ins of all cases. They use only the standard library.
set -euo pipefail
cd "$(dirname "$0")"
go build -buildvcs=false -o bin/rig ./rig
