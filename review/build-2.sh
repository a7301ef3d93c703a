#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build-review-2/. They need a C++20 compiler and nlohmann-json,
# which the deploy file names.
set -e
cd "$(dirname "$0")/.."
mkdir -p build-review-2
${CXX:-c++} -std=c++20 -O1 -Wall -Wextra -o build-review-2/cases review/stand_in_2/cases.cpp
