#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jasmined ] && [ -x target/review-3/stand3 ] || exit 2
exec target/review-3/stand3 refused-leave review/12
