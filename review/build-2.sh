#!/bin/sh
# Builds the stand-ins of the second review, cases 4 to 8, as target/review-rig2. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig2 ./review/rig2
