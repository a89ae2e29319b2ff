# Sourced by the run.sh of a case: play CLASS RECORD runs a class of the stand-ins, which reads TROUBLE and writes the record.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
case_folder="$(cd "$(dirname "$0")" && pwd)"
cd "$case_folder/../.."
. config/find-java.sh
if [ ! -d target/review-2 ] || [ ! -x target/runtime/bin/java ]; then
  echo "run the build of the deploy file and review/build-2.sh first" >&2
  exit 2
fi
play() {
  timeout --kill-after=5 115 "$JAVA_HOME/bin/java" -cp target/review-2 "review.$1" "$2"
  status=$?
  case $status in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
  esac
}
