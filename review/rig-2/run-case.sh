# Runs $CASE in $FOLDER; sourced by the run.sh of a case, from the root of the repository. Exit codes:
# 0, the rule held; 1, it was broken; 2, the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
rig=target/review-2/release/review-rig-2
[ -x "$rig" ] || { echo "build first: review/build-2.sh"; exit 2; }
temporary=$(mktemp -d) || exit 2
rig_pid=
clean_up() {
    # Ended before its time: the rig, and the sidecars that it has started.
    if [ -n "$rig_pid" ]; then
        kill -KILL "$rig_pid" 2>/dev/null
        while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$temporary/pids" 2>/dev/null
    fi
    rm -rf "$temporary"
}
trap 'clean_up; exit 2' HUP INT TERM
"$rig" "$CASE" "$FOLDER" "$temporary" &
rig_pid=$!
wait "$rig_pid"
code=$?
rig_pid=
clean_up
[ "$code" -le 1 ] || exit 2
exit "$code"
