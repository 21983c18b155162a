#!/usr/bin/env bash
# The history of a job over the logs of several entry VMs, in order of time.
set -euo pipefail
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
cat >"$folder/a.log" <<'LOG'
time=2026-12-04T09:00:02.500Z event=830 name=task-started level=info task=00000000000000ab.0.0.0 run=1 backend=i-1 detail="used 100/8000 mcpu"
time=2026-12-04T09:00:02.100Z event=820 name=job-taken level=info job=00000000000000ab backend="" detail=new
time=2026-12-04T09:00:02.200Z event=820 name=job-taken level=info job=00000000000000cd backend="" detail=new
LOG
cat >"$folder/b.log" <<'LOG'
time=2026-12-04T09:00:02.000Z event=810 name=call-accepted level=info detail="00000000000000ab queue q"
LOG
expected='0.000 s  event=810 name=call-accepted level=info detail="00000000000000ab queue q"
0.100 s  event=820 name=job-taken level=info job=00000000000000ab backend="" detail=new
0.500 s  event=830 name=task-started level=info task=00000000000000ab.0.0.0 run=1 backend=i-1 detail="used 100/8000 mcpu"'
[ "$("$1" history 00000000000000ab "$folder/a.log" "$folder/b.log")" = "$expected" ]
[ "$(cat "$folder"/*.log | "$1" history 00000000000000ab)" = "$expected" ]
status=0
"$1" history 00000000000000ef "$folder/a.log" 2>"$folder/err" || status=$?
[ "$status" = 1 ] && grep -q 'no line names' "$folder/err"
status=0
"$1" history 00000000000000ef "$folder/missing" 2>"$folder/err" || status=$?
[ "$status" = 2 ] && grep -q 'cannot read' "$folder/err"
