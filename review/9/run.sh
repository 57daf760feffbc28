#!/usr/bin/env bash
# Plays the case "removed" of review/standins-2 and writes record.txt. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-standins-2
[ -x "$program" ] && [ -x target/release/trefoilpassd ] || exit 2
"$program" removed "$PWD" review/9
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
