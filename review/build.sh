#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review cases. Needs the result of the build of
# deploy/system.toml, whose JSON library they use.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
javac -nowarn -cp "edge/target/lib/*" -d review/target review/src/*.java
