#!/usr/bin/env bash
# Suspends, kills and restarts real node processes under load. Fails if more calls
# fail than a phase allows, if an answer is wrong, or if a node does not reach the
# expected revision. Prints the name and one JSON line for each phase.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out
go build -o out/ ./caroblift ./carobctl ./carobbench
pids=()
trap 'for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null || true; done' EXIT

start() { "$@" >>out/freeze.log 2>&1 & pids+=($!); last=$!; }
node() { start out/caroblift --config "carobbench/examples/node$1.ini"; }
ctl() { out/carobctl --node "127.0.0.1:7$1""05" "${@:2}"; }
load() { # duration, seed, failed calls allowed
  out/carobbench load --entry 127.0.0.1:7101 --entry 127.0.0.1:7301 --time "$1" --seed "$2" --allow "$3"
}
revision() { ctl "$1" --json status | grep -oE '"revision": *"[0-9]+"' | head -n 1 | grep -oE '[0-9]+'; }
awaitrevision() { # node, revision
  for _ in $(seq 60); do
    got=$(revision "$1" 2>/dev/null || echo 0) # the node may not listen yet
    [ "$got" -ge "$2" ] && return 0
    sleep 0.05
  done
  echo "node $1 holds revision $got, want $2, after 3 s" >&2
  return 1
}

start out/carobbench platform --listen 127.0.0.1:7000
platform=$last
node 1; node 2; frozen=$last; node 3
for i in 1 2 3; do
  start out/carobbench server --service quotes --name "q$i" --announce "http://127.0.0.1:7$i""04/announce"
done
sleep 1
ctl 3 apply --wait --bound 60s -f carobbench/examples/jieming/records.json >/dev/null
echo '{"kind":"route","name":"drawings","schema":2,"spec":{"prefix":"/drawings","service":"quotes"}}
{"kind":"route","name":"stock","schema":2,"spec":{"prefix":"/stock","service":"quotes"}}' >out/moves.json
ctl 3 apply --force --wait -f out/moves.json >/dev/null
for i in 1 2 3; do awaitrevision "$i" "$(revision 3)"; done

echo quiet; load 2s 1 0

# Suspend node 2 for longer than every timeout, change the configuration, resume
# the node.
echo frozen
# 8 failures are allowed: each of the 2 entry nodes detects the failure by itself,
# by one failed call of each of the 4 callers.
load 10s 2 8 &
loader=$!
sleep 1
kill -STOP "$frozen"
sleep 6
echo '{"kind":"route","name":"stock","schema":2,"spec":{"prefix":"/stock","service":"quotes","timeout":"3s"}}' >out/move.json
ctl 1 apply --force -f out/move.json >/dev/null
awaitrevision 3 "$(revision 1)"
kill -CONT "$frozen"
awaitrevision 2 "$(revision 1)"
wait "$loader"

# Kill node 2 and restart it: it must never serve a table older than one it has
# served, and must reach the current revision.
echo killed
load 8s 3 8 &
loader=$!
sleep 1
kill -KILL "$frozen"
sleep 1
node 2
awaitrevision 2 "$(revision 1)"
wait "$loader"

# Suspend the platform: calls go on, and a change gets through once it resumes.
echo outage
load 8s 4 0 &
loader=$!
kill -STOP "$platform"
sleep 5
kill -CONT "$platform"
sleep 1
before=$(revision 1)
echo '{"kind":"route","name":"stock","schema":2,"spec":{"prefix":"/stock","service":"quotes","timeout":"4s"}}' >out/move.json
ctl 1 apply --force -f out/move.json >/dev/null
for i in 1 2 3; do awaitrevision "$i" "$((before + 1))"; done
wait "$loader"
echo passed
