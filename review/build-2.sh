#!/bin/bash
# Builds the stand-ins of the cases 4 to 8 under target/review-2; needs the packages of the deploy file alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/case.cpp; do
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "target/review-2/case-$number" "$source" &
done
wait
for source in review/[4-8]/case.cpp; do
  test -x "target/review-2/case-$(basename "$(dirname "$source")")"
done
