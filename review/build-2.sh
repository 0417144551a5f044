#!/bin/sh
# Builds what the scripts of cases 6 to 9 start: the stand-ins of review/kit-2 and the cases.
# Needs a JDK only; the nodes come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/kit-2/*.java review/6/*.java review/7/*.java \
    review/8/*.java review/9/*.java
