#!/usr/bin/env bash
# Runs a case: run-case.sh N. The Java program of the case starts the processes and ends them.
set -uo pipefail
cd "$(dirname "$0")/.."
case=$1
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -d target/review ] && [ -x target/runtime/bin/java ] || { echo "not built" >&2; exit 2; }
timeout -k 5 118 target/runtime/bin/java -Xmx512m -Djava.util.logging.config.file=/dev/null \
  -cp 'target/review:target/lib/*' "Case$case" "$folder" "review/$case/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
[ -z "${KEEP_LOGS:-}" ] || cp "$folder"/*.log "$KEEP_LOGS"/
exit "$status"
