#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] && [ -x target/release/leverstreamd ] || exit 2
# With TROUBLE=0 the case runs without its disturbance.
export TROUBLE="${TROUBLE:-1}"
exec timeout -k 1 118 target/review/case-3 review/3
