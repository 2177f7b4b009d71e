#!/bin/sh
# Exits with 1 if two upstreams held the same keys for over half a second, 0 if not, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/bamboolink-router.cjs ] || { echo "build first"; exit 2; }
timeout -k 2 118 node case.mjs
code=$?
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || code=2
exit "$code"
