#!/bin/sh
# Builds the stand-ins of the cases with the standard library alone, into review/bin.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in tools/*.rs; do
    case=$(basename "$source" .rs)
    [ "$case" = common ] || rustc --edition 2024 -O -o "bin/$case" "$source"
done
