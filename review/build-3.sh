#!/usr/bin/env bash
# Builds the programs of the scripts of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra "$source" -o "target/review-3/case-$name" -lboost_json \
    -lboost_container -lpthread
done
