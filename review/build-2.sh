#!/usr/bin/env bash
# Builds what the scripts of the cases 4 to 8 start besides the relay of the deploy file. Their
# stand-ins are plain JavaScript, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
