#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript without dependencies, so nothing is compiled. This checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.js [1-9]/*.js; do node --check "$file"; done
