#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it
# does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-3/case-13 ] && [ -x target/apps/daemon/sapphirewheeld ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-3/case-13 "$here"
