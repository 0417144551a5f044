#!/bin/sh
# Builds the stand-ins and the cases with the JDK alone. Needs no network.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -nowarn -d build standin/*.java [1-9]/*.java
