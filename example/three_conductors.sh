#!/usr/bin/env bash
# Two toy boxes and three conductors of one fleet on this machine, until Ctrl-C. Run it from the project's root, after
# the build.
set -euo pipefail
folder=$(mktemp -d)
started=()
trap 'kill "${started[@]}" 2>/dev/null || true; wait; rm -rf "$folder"' EXIT

for port in 9001 9002; do
  build/example_instance "127.0.0.1:$port" > /dev/null &
  started+=($!)
done
for n in 1 2 3; do
  sed -e "s/\"name\": \"c1\"/\"name\": \"c$n\"/" -e "s/127.0.0.1:8081/127.0.0.1:808$n/" \
    -e "s/127.0.0.1:9101/127.0.0.1:910$n/" -e "s#/tmp/dahliastall-fleet.db#$folder/fleet.db#" \
    deploy/fleet.json > "$folder/c$n.json"
  build/inference-router serve --operator "$folder/c$n.json" 2> >(sed "s/^/c$n: /") &
  started+=($!)
  echo "c$n is process $!, its door is 127.0.0.1:910$n"
done
wait
