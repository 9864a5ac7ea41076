#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
test -f target/fireflyshed-entry.jar && test -d target/review-2 || exit 2
exec java -Xmx256m -cp target/review-2 review2.CrashesInTurn "$folder"
