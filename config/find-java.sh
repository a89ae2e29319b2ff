# Sourced by the launcher and by CI: sets JAVA_HOME to a JDK 25 or later, or says what is missing and exits with 2.
java_major() {
  "$1/bin/java" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -n 1
}
found=""
for candidate in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
  [ -x "$candidate/bin/javac" ] || continue
  major=$(java_major "$candidate")
  if [ "${major:-0}" -ge 25 ]; then
    found=$candidate
    break
  fi
done
if [ -z "$found" ]; then
  echo "carawaysill: a JDK 25 or later is needed; set JAVA_HOME to one (looked in JAVA_HOME and /usr/lib/jvm)" >&2
  exit 2
fi
export JAVA_HOME=$found
