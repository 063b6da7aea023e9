#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, with the compiler of the Java that the project needs.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -encoding UTF-8 --release 17 -d target/review-3 review/standins-3/*.java
