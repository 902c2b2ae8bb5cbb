#!/bin/sh
CASE=short-length
FOLDER=review/8
cd "$(dirname "$0")/../.." || exit 2
. review/rig-2/run-case.sh
