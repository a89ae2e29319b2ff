#!/usr/bin/env bash
# Builds what the users' platform runs, all of it under target/: a Java runtime with only the modules that a node uses, the
# jars, and an archive of the classes that a node loads.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. config/find-java.sh

export MAVEN_OPTS="${MAVEN_OPTS:-} --sun-misc-unsafe-memory-access=allow"
mvn -B -ntp -q -Dmaven.test.skip=true package -pl platform -am

rm -rf target/platform target/runtime
"$JAVA_HOME/bin/jlink" --add-modules java.base,java.logging,java.management,java.naming,jdk.unsupported \
  --strip-debug --no-header-files --no-man-pages --output target/runtime
bash deploy/assemble.sh target/runtime/bin/java target/platform
