#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies, so there is nothing to compile: checks that
# each file can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do node --check "$file"; done
