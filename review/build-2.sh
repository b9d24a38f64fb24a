#!/usr/bin/env bash
# Builds the programs of the cases of the second review, with their stand-ins, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for dir in review/{6,7,8,9,10}; do
  if ls "$dir"/*.go >/dev/null 2>&1; then
    go build -o "target/review-2/case-$(basename "$dir")" "./$dir"
  fi
done
