#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the review into target/review. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review review/standins/*.java review/[1-5]/*.java
