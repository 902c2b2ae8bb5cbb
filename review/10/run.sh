#!/bin/sh
CASE=slow-discovery
FOLDER=review/10
cd "$(dirname "$0")/../.." || exit 2
. review/rig-2/run-case.sh
