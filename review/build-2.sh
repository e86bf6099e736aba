#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases in review/6 to review/10. Run it after the build of
# the deploy file, whose library it links.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake -S review/standin-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2
