#!/usr/bin/env bash
# Case 7. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves out the drill and the kill.
# KILL=all kills all routers right after the drill and checks RECOVER in place of DENIED.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/platform/limpetfold.jar ] && [ -f target/review-2/DrillAndKill.class ] || exit 2
exec timeout -k 5 115 java -Xmx512m -cp target/review-2 DrillAndKill review/7
