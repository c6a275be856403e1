#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs the build of the deploy file before it.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/select-jdk
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -cp 'target/lib/*' -d target/review review/standin/*.java
