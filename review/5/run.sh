#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/savoryreel ] && [ -x target/review/casetool ] || exit 2
exec target/review/casetool 5 review/5/record.txt
