#!/usr/bin/env bash
# Builds the program with the stand-ins and the cases, target/review/review_case.
# Needs what the build of the deploy file needs, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release
cmake --build target/review -j4
