#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin -B build-review -G Ninja -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build build-review
