#!/usr/bin/env bash
# assemble.sh JAVA DIRECTORY: puts into DIRECTORY what a node runs from, but for the Java runtime: its jars, and an archive of
# the classes that it loads. The jars must be packaged.
set -euo pipefail
java=$1
directory=$2
cd "$(dirname "${BASH_SOURCE[0]}")/.."

mkdir -p "$directory"
cp platform/target/carawaysill-platform-*.jar "$directory/carawaysill-platform.jar"
cp platform/target/lib/*.jar "$directory/"
# Reads TOML, which no program here does; where it is found, Vert.x loads it for JSON too: 467 classes, 0.07 s of processor
# time and 5 MB at each start.
rm "$directory"/jackson-databind-*.jar "$directory"/jackson-dataformat-toml-*.jar

# The archive holds the classes as linked by the training run, those of the runtime included: a start takes a tenth less
# processor time than with an archive of loaded classes above the runtime's own. It is only used with the class path, the
# collector and the module options that it was made with; with an option for native access the virtual machine leaves a part
# of it aside.
options="-Xmx48m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 --sun-misc-unsafe-memory-access=allow"
class_path=$directory/carawaysill-platform.jar
recorded=$directory/node.aotconf
settings=$directory/training.json

# Recorded is the node's own program, from its start to the end of a planned stop, so that the archive has the classes of the
# way that a node takes and not of another one. The training run serves it and sends the requests.
rm -f "$settings"
"$java" $options -cp "$class_path" org.carawaysill.platform.standin.TrainingRun "$settings" \
  >"$directory/training.log" 2>&1 &
training=$!
node=""
trap 'kill $training $node 2>/dev/null || true' EXIT
failed() {
  echo "assemble.sh: $1 failed:" >&2
  tail -n 5 "$2" >&2
  exit 1
}
until [ -e "$settings" ]; do
  kill -0 $training 2>/dev/null || failed "the training run" "$directory/training.log"
  sleep 0.05
done
"$java" $options -XX:AOTMode=record -XX:AOTConfiguration="$recorded" -cp "$class_path" \
  org.carawaysill.platform.PlatformMain --settings "$settings" >"$directory/recorded.log" 2>&1 &
node=$!
wait $training || failed "the training run" "$directory/training.log"
kill -TERM $node
wait $node || failed "the recorded node" "$directory/recorded.log"
trap - EXIT
"$java" $options -XX:AOTMode=create -XX:AOTConfiguration="$recorded" -XX:AOTCache="$directory/node.jsa" \
  -cp "$class_path" >>"$directory/recorded.log" 2>&1
rm "$recorded"
