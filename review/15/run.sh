#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/15 ] || exit 2
[ -x target/router/cranberrystile-router ] || exit 2
timeout -k 2 115 target/review-3/15 review/15/record.txt
status=$?
[ $status -le 1 ] || exit 2
exit $status
