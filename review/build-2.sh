#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2/. Needs the compiler of the project's build only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/case*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$name"
done
