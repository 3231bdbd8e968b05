#!/usr/bin/env bash
# Compiles the stand-ins of the second review. Run it after the build of the deploy file, whose output
# has the JSON library that the stand-ins use.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target-2
mkdir -p review/target-2
javac -nowarn -cp 'platform/target/lib/*' -d review/target-2 review/standin-2/*.java
