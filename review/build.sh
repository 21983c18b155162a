#!/usr/bin/env bash
# Builds the stand-ins and the scenario of each case into target/review. Needs the packages of
# deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
status=0
pids=()
for source in review/[0-9]/case.cpp; do
  name="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/common "$source" -o "target/review/case-$name" \
    -lboost_json -pthread &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid" || status=1; done
exit $status
