#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review; needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/select-jdk
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -nowarn -d target/review-2 -cp 'target/lib/*' review/standin-2/*.java
