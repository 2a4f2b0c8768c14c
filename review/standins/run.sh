#!/bin/sh
# Runs a case by its number, after review/build.sh. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "target/review/case-$1" "$folder" "review/$1/record.txt"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
