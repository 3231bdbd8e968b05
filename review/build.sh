#!/usr/bin/env bash
# Compiles the stand-ins of all scripts. Run it after the build of the deploy file, whose output has
# the JSON library that the stand-ins use.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target/classes
javac -nowarn -cp 'platform/target/lib/*' -d review/target/classes review/standin/*.java
