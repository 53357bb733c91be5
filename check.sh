#!/usr/bin/env bash
# Formatter, vet, staticcheck, build and the race tests of all modules.
set -euo pipefail
cd "$(dirname "$0")"

modules=(. policy testbed)

unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "gofmt: these files are not formatted:" >&2
  echo "$unformatted" >&2
  exit 1
fi

# Tests named in KNOWN-RED.txt (one line each: test, cause, issue) are skipped and their lines printed.
skip=""
if [ -f KNOWN-RED.txt ]; then
  while read -r name rest; do
    case "$name" in "" | "#"*) continue ;; esac
    echo "KNOWN-RED: $name $rest"
    skip="${skip:+$skip|}^${name}\$"
  done <KNOWN-RED.txt
fi

for module in "${modules[@]}"; do
  (
    cd "$module"
    echo "== module $module"
    go build ./...
    go vet ./...
    go tool honnef.co/go/tools/cmd/staticcheck ./...
    go test -race -count=1 -timeout 12m ${skip:+-skip "$skip"} ./...
  )
done

# Fuzz the decoders of data that other programs write or send. The number of inputs is bounded, not
# the time: go test reports a failure if the time ends while a worker is busy.
for decoder in platform:FuzzServerEntry platform:FuzzDesiredState internal/gateway/peers:FuzzDatagram internal/gateway/origin:FuzzMessage internal/gateway/router:FuzzEventSplitter; do
  go test -run '^$' -fuzz "^${decoder#*:}\$" -fuzztime 60000x "./${decoder%:*}"
done
