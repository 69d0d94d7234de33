#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. They need a C++20 compiler
# and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/*/case.cpp; do
  case=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review/case-$case" "$source"
done
