#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[[ -d review/target && -d edge/target/lib ]] || exit 2
timeout -k 3 114 java -Xmx256m -cp "review/target:edge/target/lib/*" OddEntryCase review/4
case $? in
0) exit 0 ;;
10) exit 1 ;; # the status of the driver for a broken rule; the JVM itself fails with 1
*) exit 2 ;;
esac
