#!/bin/bash
# Builds the stand-ins for the cases, if their sources have changed. Needs the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
if [ -f target/built ] && [ -z "$(find standins -newer target/built -print -quit)" ]; then
  exit 0
fi
javac -Xlint:all -Werror -d target standins/*.java
touch target/built
