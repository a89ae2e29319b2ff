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
# Reads TOML, which no program here does; where it is found, Vert.x loads it for JSON too: 467 classes, 0.07 s of processor
# time and 5 MB at each start.
rm target/platform/jackson-databind-*.jar target/platform/jackson-dataformat-toml-*.jar

"$JAVA_HOME/bin/jlink" --add-modules java.base,java.logging,java.management,java.naming,jdk.unsupported \
  --strip-debug --no-header-files --no-man-pages --output target/runtime

# The archive holds the classes as linked by the training run, those of the runtime included: a start takes a tenth less
# processor time than with an archive of loaded classes above the runtime's own. It is only used with the class path, the
# collector and the module options that it was made with; with an option for native access the virtual machine leaves a part
# of it aside.
options="-Xmx48m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 --sun-misc-unsafe-memory-access=allow"
class_path=target/platform/carawaysill-platform.jar
training=org.carawaysill.platform.standin.TrainingRun
recorded=target/platform/node.aotconf
target/runtime/bin/java $options -XX:AOTMode=record -XX:AOTConfiguration="$recorded" -cp "$class_path" "$training" \
  >target/platform/training.log 2>&1
target/runtime/bin/java $options -XX:AOTMode=create -XX:AOTConfiguration="$recorded" -XX:AOTCache=target/platform/node.jsa \
  -cp "$class_path" >>target/platform/training.log 2>&1
rm "$recorded"
