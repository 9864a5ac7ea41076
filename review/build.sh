#!/bin/sh
# Builds all that stands in review/standin into target/review. Needs the JDK only.
# Kit: stand-ins of the store, replicas and clients, and the start of entries, for all cases. QuietCrash: case 1,
# SilentStop: case 2, LargeBodies: case 3, LeftCallers: case 4.
cd "$(dirname "$0")/.." || exit 2
rm -rf target/review && mkdir -p target/review && javac -d target/review review/standin/*.java
