#!/bin/bash
# Builds the stand-ins that the scripts of review/4 to review/6 start. They are plain modules of Node.js without
# dependencies, so there is nothing to compile: this checks that each can be parsed. The router itself comes from the
# build of the deploy file.
set -e
cd "$(dirname "$0")"
for module in common-2/*.mjs 4/*.mjs 5/*.mjs 6/*.mjs; do
  node --check "$module"
done
