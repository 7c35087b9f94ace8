#!/usr/bin/env bash
# Regenerates the Go messages and RPC code of package wire from schema/. Requires
# protoc (Debian package protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
for tool in protoc-gen-go protoc-gen-connect-go; do
  (cd ../tools && GOWORK=off go tool -n "$tool" >/dev/null && ln -sf "$(GOWORK=off go tool -n "$tool")" "$bin/$tool")
done
PATH="$bin:$PATH" protoc -I schema \
  --go_out=. --go_opt=module=caroblift.dev/wire \
  --connect-go_out=. --connect-go_opt=module=caroblift.dev/wire \
  schema/*.proto
