#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into review/bin. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/peers"
mkdir -p ../bin
go build -o ../bin/peers .
