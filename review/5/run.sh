#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruptions out; TROUBLE=outage and TROUBLE=cut leave one of them in. Run the build of the deploy file and review/build-2.sh before.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/leverstreamd ] && [ -x target/review-2/case-5 ] || exit 2
target/review-2/case-5 review/5/record.txt
result=$?
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
