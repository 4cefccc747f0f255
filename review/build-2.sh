#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. Needs the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/target/classes-2
javac -nowarn -d review/target/classes-2 -cp edge/target/edge.jar review/src-2/review2/*.java
