#!/usr/bin/env bash
# The stand-ins of the scripts are plain Node.js programs in review/common and need no build; this checks their syntax.
set -eu
cd "$(dirname "$0")"
for file in common/*.cjs [0-9]*/*.cjs; do
  node --check "$file"
done
