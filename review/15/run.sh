#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uom pipefail
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/review_fleet
[ -x "$program" ] && [ -x target/coltsfoot_fleetd ] || exit 2
folder=$(mktemp -d) || exit 2
"$program" unheard_restart "$folder" review/15/record.txt &
fleet=$!
# All processes of the case are in one group. None may outlast the time that a script has.
(sleep 115; kill -KILL -- "-$fleet") &
watch=$!
disown "$watch"
wait "$fleet"
code=$?
kill -KILL -- "-$watch" "-$fleet" 2> /dev/null
rm -rf "$folder"
[ "$code" -le 1 ] || code=2
exit "$code"
