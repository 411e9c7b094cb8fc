#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for it in review/*/case.cpp; do
  n=$(basename "$(dirname "$it")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$n" "$it"
done
