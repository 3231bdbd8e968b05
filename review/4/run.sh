#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it does
# the same without the disruption. What was sent, answered and run stands in record.txt beside it.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -d review/target/classes ] || { echo "run review/build.sh first" >&2; exit 2; }
timeout --signal=TERM 118 java -Xmx400m -cp 'review/target/classes:platform/target/lib/*' CutWatches "$here"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
