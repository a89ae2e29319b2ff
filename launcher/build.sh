# Sourced by the launcher: builds what is missing or older than the sources, and says how to start a program.
modules=(model policy protocol kernel node control standin load soak)
stamp=$home/target/carawaysill-built
archives=$home/target/aot
# Flags that choose the compilers of the virtual machine; none for both.
compilers=()

sources_changed() {
  [ -e "$stamp" ] || return 0
  local module
  for module in "${modules[@]}"; do
    [ -z "$(find "$home/$module/src/main" "$home/$module/pom.xml" "$home/pom.xml" -newer "$stamp" -print -quit)" ] || return 0
    compgen -G "$home/$module/target/*.jar" >/dev/null || return 0
  done
  return 1
}

build_if_needed() {
  sources_changed || return 0
  echo "carawaysill: building" >&2
  (cd "$home" && MAVEN_OPTS="${MAVEN_OPTS:-} --sun-misc-unsafe-memory-access=allow" \
    mvn -B -ntp -q -Dmaven.test.skip=true package) >&2
  rm -rf "$archives"
  mkdir -p "$home/target"
  touch "$stamp"
}

main_class() {
  case $1 in
    node) echo NodeMain ;;
    control) echo ControlMain ;;
    load) echo LoadMain ;;
    standin) echo StandinMain ;;
    soak) echo SoakMain ;;
  esac
}

heap() {
  case $1 in
    node) echo 64m ;;
    standin) echo 128m ;;
    *) echo 512m ;;
  esac
}

# Sets the array words to what starts a program; extra flags of the virtual machine may follow its name. The class path
# lists each jar, in order of name: an archive of classes is only used with the class path that it was made with.
java_words() {
  local program=$1 jars=("$home/$1/target"/*.jar "$home/$1/target/lib"/*.jar)
  shift
  words=("$JAVA_HOME/bin/java" -XX:+UseSerialGC "-Xmx$(heap "$program")")
  words+=(--sun-misc-unsafe-memory-access=allow --enable-native-access=ALL-UNNAMED)
  words+=("${compilers[@]}")
  if [ -e "$archives/$program.aot" ]; then
    words+=("-XX:AOTCache=$archives/$program.aot")
  fi
  words+=("$@" -cp "$(IFS=: && echo "${jars[*]}")" "org.carawaysill.$program.$(main_class "$program")")
}
