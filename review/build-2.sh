#!/bin/sh
# Builds the stand-ins of the cases 4 and on, after the build of the deploy file. Only the standard library is used.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_ins_2/case_*.rs; do
    rustc --edition 2021 -O -A warnings -o "target/review-2/$(basename "$source" .rs)" "$source"
done
