#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into build/review-3/. The cases also need the daemon of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p build/review-3
for source in review/1[1-5]/case.cc; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/review-3/case-$number"
done
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/http10.cc -o build/review-3/http10
