#!/bin/sh
# The stand-ins are plain JavaScript without dependencies: nothing to compile. Checks that each file can be read.
cd "$(dirname "$0")" || exit 1
for file in common/*.mjs [0-9]*/*.mjs; do
  node --check "$file" || exit 1
done
