#!/usr/bin/env bash
# Measures the memory, processor time and traffic of one node that holds a large
# member table. carobbench hold simulates the other members and writes the node's
# settings; this script starts a new node process for each size of the table.
# All arguments are passed to carobbench hold.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out
go build -o out/ ./caroblift ./carobbench
dir=$(mktemp -d)
node=
trap '[ -z "$node" ] || kill "$node" 2>/dev/null || true; rm -rf "$dir"' EXIT
out/carobbench hold --dir "$dir" "$@" &
bench=$!
while kill -0 "$bench" 2>/dev/null; do
  if [ -z "$node" ] && [ -e "$dir/node.ini" ]; then
    cp "$dir/node.ini" "$dir/own.ini"
    out/caroblift --config "$dir/own.ini" 2>>out/hold.log &
    node=$!
    echo "$node" >"$dir/pid"
  elif [ -n "$node" ] && [ ! -e "$dir/node.ini" ]; then
    kill -KILL "$node" 2>/dev/null || true
    wait "$node" 2>/dev/null || true
    node=
  fi
  sleep 0.1
done
wait "$bench"
