#!/bin/sh
# run-case.sh CASE FOLDER: runs a script of the stand-ins and writes FOLDER/record.txt.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 does the same without the disruption. Ends all processes that it started.
set -u
case_name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
program=target/review/release/review-standin
if [ ! -x target/release/cactuswheeld ] || [ ! -x "$program" ]; then
    echo "build first: cargo build --release --workspace --locked; review/build.sh" >&2
    exit 2
fi
temp=$(mktemp -d) || exit 2
started=

finish() {
    [ -z "$started" ] || kill -9 "$started" 2>/dev/null
    if [ -f "$temp/processes" ]; then
        while read -r id; do
            # Only a process that still runs with settings of this folder.
            if [ -r "/proc/$id/cmdline" ] && grep -qF "$temp/" "/proc/$id/cmdline"; then
                kill -9 "$id" 2>/dev/null
            fi
        done <"$temp/processes"
    fi
    rm -rf "$temp"
}

trap 'finish; exit 2' HUP INT TERM
"$program" "$case_name" "$folder/record.txt" "$temp" &
started=$!
wait "$started"
code=$?
started=
finish
exit "$code"
