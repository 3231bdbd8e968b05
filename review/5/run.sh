#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -d review/target/classes ] || { echo "run review/build.sh first" >&2; exit 2; }
timeout --signal=TERM 118 java -Xmx400m -cp 'review/target/classes:platform/target/lib/*' SilentStore "$here"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
