#!/bin/sh
# Plays the case; claim.txt beside it says what is seen. TROUBLE=0 leaves the disruption out.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/cactuswheeld ] || exit 2
[ -x target/review-2/release/review-standin-2 ] || exit 2
exec target/review-2/release/review-standin-2 sick review/6/record.txt
