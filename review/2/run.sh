#!/bin/sh
CASE=list_stall
FOLDER=$(cd "$(dirname "$0")" && pwd)
. "$FOLDER/../tools/run-case.sh"
