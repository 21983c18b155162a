#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -pthread -o target/review-2/cases2 review/cases2.cpp -lboost_json
