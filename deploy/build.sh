#!/usr/bin/env bash
# Builds what the users' platform runs, all of it under target/: a Java runtime with only the modules that a node uses, the
# jars, and an archive of the classes that a node loads.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. config/find-java.sh

export MAVEN_OPTS="${MAVEN_OPTS:-} --sun-misc-unsafe-memory-access=allow"
mvn -B -ntp -q -Dmaven.test.skip=true package -pl platform -am

rm -rf target/platform target/runtime
mkdir -p target/platform
cp platform/target/carawaysill-platform-*.jar target/platform/carawaysill-platform.jar
cp platform/target/lib/*.jar target/platform/

"$JAVA_HOME/bin/jlink" --add-modules java.base,java.logging,java.management,java.naming,jdk.unsupported \
  --generate-cds-archive --strip-debug --no-header-files --no-man-pages --output target/runtime

# The archive is only used with the class path and the base archive that it was made with; the options that shape the heap
# stand here as in system.toml.
target/runtime/bin/java -Xmx64m -XX:+UseSerialGC -XX:ArchiveClassesAtExit=target/platform/node.jsa \
  --sun-misc-unsafe-memory-access=allow --enable-native-access=ALL-UNNAMED \
  -cp target/platform/carawaysill-platform.jar org.carawaysill.platform.standin.TrainingRun >target/platform/training.log 2>&1
