#!/usr/bin/env bash
# Builds the stand-ins of the cases; they need the Go tool chain alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
go build -o ../bin/standin .
