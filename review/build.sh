#!/bin/bash
# Builds the stand-ins and the drivers of the cases into target/review. Uses the compiler and the
# RapidJSON headers that the project's own build needs, and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=()
for source in review/*/case.cpp; do
  driver=target/review/case-$(basename "$(dirname "$source")")
  (g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "$driver.new" && mv "$driver.new" "$driver") &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
