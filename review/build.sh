#!/bin/sh
# Builds the stand-ins of the cases into build/review/. Needs the packages of the project's own build.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/stand_in/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -Isrc -Itests -o "build/review/$(basename "$source" .cpp)" "$source" \
    src/jsonl/message.cpp
done
