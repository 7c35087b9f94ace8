#!/usr/bin/env bash
# Builds the stand-ins of the third review, which the scripts of its cases start. It needs no
# network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
(cd review/stand3 && GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../../target/review/stand3 .)
