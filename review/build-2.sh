#!/usr/bin/env bash
# Builds the stand-ins of the second review: one program, out/stand2.
set -euo pipefail
cd "$(dirname "$0")/stand2"
GOWORK=off go build -o ../../out/stand2 .
