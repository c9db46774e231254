#!/usr/bin/env bash
# Runs one case of the review: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. Ends every process that the case started, by its id.
set -uo pipefail
case_name=$1
record=$(cd "$2" && pwd)/record.txt
cd "$(dirname "$0")/.."
for program in target/release/oriolepassd target/review/standin; do
    [ -x "$program" ] || { echo "$program is missing: build it first"; exit 2; }
done
folder=$(mktemp -d) || exit 2
: > "$folder/pids"
target/review/standin "$case_name" "folder=$folder" "record=$record" &
standin=$!
end_all() {
    kill -KILL "$standin" 2>/dev/null
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$folder/pids"
    [ -n "${KEEP:-}" ] && cp "$folder"/*.log "$KEEP"/
    rm -rf "$folder"
}
trap end_all EXIT
( sleep 115; kill -KILL "$standin" 2>/dev/null ) &
limit=$!
disown "$limit"
wait "$standin" 2>/dev/null
code=$?
kill -KILL "$limit" 2>/dev/null
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
