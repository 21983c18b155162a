#!/usr/bin/env bash
# Builds the stand-ins and the scenario of each case, and the further ones, into target/review. Needs
# the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
status=0
pids=()
for source in review/[1-5]/case.cpp review/further.cpp; do
  name="further"
  [ "$source" = review/further.cpp ] || name="case-$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview "$source" -o "target/review/$name" -lboost_json \
    -pthread &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid" || status=1; done
exit $status
