#!/bin/sh
CASE=crowd
FOLDER=review/6
cd "$(dirname "$0")/../.." || exit 2
. review/rig-2/run-case.sh
