#!/usr/bin/env bash
# Installs, builds, checks and tests; the same here and in CI.
set -euo pipefail
cd "$(dirname "$0")/.."
npm ci --no-progress --loglevel=error
npm run --silent build
npm run --silent format:check
npm run --silent lint
npm run --silent docs:check
node scripts/run_tests.mjs
