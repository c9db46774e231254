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
# The stand-in notes the ids of its processes, its own first.
timeout -s KILL 115 target/review/standin "$case_name" "folder=$folder" "record=$record" &
limited=$!
end_all() {
    while read -r pid; do
        case $(readlink "/proc/$pid/exe") in
            */oriolepassd* | */standin*) kill -KILL "$pid" 2>/dev/null ;;
        esac
    done < "$folder/pids"
    kill -KILL "$limited" 2>/dev/null
    [ -n "${KEEP:-}" ] && cp "$folder"/*.log "$KEEP"/
    rm -rf "$folder"
}
trap end_all EXIT
wait "$limited" 2>/dev/null
code=$?
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
