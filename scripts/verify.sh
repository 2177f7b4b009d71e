#!/usr/bin/env bash
# Installs the dependencies, builds, checks and tests; CI runs the same script.
set -euo pipefail
cd "$(dirname "$0")/.."
npm ci --no-progress --loglevel=error
npm run --silent build
npm run --silent format:check
npm run --silent lint
npm run --silent docs:check
node scripts/run_tests.mjs
