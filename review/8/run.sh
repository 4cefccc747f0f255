#!/bin/bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/target/classes-2 ] && [ -f edge/target/edge.jar ] || { echo "not built"; exit 2; }
exec java -Dsun.net.httpserver.nodelay=true -cp review/target/classes-2:edge/target/edge.jar review2.UnframedCrash review/8
