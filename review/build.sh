#!/bin/sh
# Builds the stand-ins of the cases. Needs the JDK only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review && javac -d target/review review/standin/*.java
