#!/bin/sh
# Builds cases 6 to 9 and the stand-ins that they start, all in review/kit-2, with the JDK alone.
# Needs no network; the nodes come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/kit-2/*.java
