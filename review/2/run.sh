#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/ebony-front ] || exit 2
exec review/bin/standin first-start review/2/record.txt
