#!/usr/bin/env bash
# Builds what the scripts of the second review start. Their stand-ins are plain JavaScript and need no build; the
# program itself comes from the build command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
[ -f target/gateway.mjs ] || { echo 'target/gateway.mjs is missing: run the build of deploy/system.toml first' >&2; exit 1; }
for file in review/common-2/*.cjs review/[6-9]/*.cjs review/10/*.cjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
