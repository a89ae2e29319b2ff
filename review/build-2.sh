#!/usr/bin/env bash
# Builds the stand-ins of the second review under target/review-2/. Needs a JDK 25 and the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. config/find-java.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -d target/review-2 review/standin-2/src/review/*.java
