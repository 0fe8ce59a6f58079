#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in platform server client machine; do
    c++ -std=c++20 -O2 -pthread -o "target/review/$name" "review/$name.cc" &
    builds+=($!)
done
for build in "${builds[@]}"; do
    wait "$build"
done
