#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into build/review-2/. Run it from anywhere, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o build/review-2/stand_in review/stand_ins-2/stand_in.cpp
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o build/review-2/etcd review/stand_ins-2/etcd.cpp
