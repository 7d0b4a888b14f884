#!/usr/bin/env bash
# Plays every day of this folder on each site file given; the bench's path stands in FLEETBENCH.
set -u
cd "$(dirname "$0")/../.."
: "${FLEETBENCH:?set FLEETBENCH to the path of the bench}"
for site in "$@"; do
  for day in deploy/days/*.toml; do
    name=$(basename "$day" .toml)
    if ! output=$("$FLEETBENCH" run "$site" "$day" --why "own day $name" 2>&1); then failed=" (the bench failed)"; else failed=""; fi
    verdict=$(grep -E '^(rules broken|short of the gate|a fault)' <<<"$output" | tr '\n' ';')
    worth=$(grep -m1 -E '^worth ' <<<"$output" | cut -d' ' -f2)
    printf '%s %s worth %s %s%s\n' "$(basename "$site" .toml)" "$name" "${worth:-none}" "${verdict:-kept}" "$failed"
  done
done
