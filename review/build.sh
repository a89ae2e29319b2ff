#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs under target/review/. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. config/find-java.sh
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/standin/review/*.java review/[0-9]/*.java
