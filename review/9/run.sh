#!/bin/sh
CASE=held-up-end
FOLDER=review/9
cd "$(dirname "$0")/../.." || exit 2
. review/rig-2/run-case.sh
