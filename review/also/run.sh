#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; with TROUBLE=0 it does the same but no client leaves.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
. config/find-java.sh
exec "$JAVA_HOME/bin/java" -cp target/review review.LeavingClients "$PWD" "$PWD/review/also/record.txt"
