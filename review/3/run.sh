#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x build/lupinsill ] && [ -x build/review/seats ] || exit 2
timeout -k 5 110 build/review/seats "$here/record.txt"
code=$?
[ $code -le 1 ] && exit $code
exit 2
