#!/usr/bin/env bash
# TROUBLE=0 plays the case without its disruption.
export TROUBLE="${TROUBLE:-1}"
exec node "$(cd "$(dirname "$0")" && pwd)/case.cjs"
