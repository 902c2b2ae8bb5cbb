# Runs one case: sourced by the run.sh of its folder, with CASE and FOLDER set.
ROOT=$(cd "$FOLDER/../.." && pwd)
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/balancer.toml")
PROGRAM="$ROOT/review/bin/$CASE"
export ROOT RUN
[ -x "$PROGRAM" ] || { echo "cannot run: review/build.sh has not been run" >&2; exit 2; }
[ -n "$RUN" ] || { echo "cannot run: no run command in the deploy file" >&2; exit 2; }
ulimit -n 4096 2>/dev/null || { echo "cannot run: 4,096 descriptors are needed" >&2; exit 2; }
WORK=$(mktemp -d)
end() {
    # Sidecars that the program could not end itself.
    [ -f "$WORK/pids" ] && while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$WORK/pids"
    rm -rf "$WORK"
}
trap end EXIT
timeout -k 2 115 "$PROGRAM" "$WORK" "$FOLDER/record.txt"
CODE=$?
case $CODE in 0 | 1) ;; *) CODE=2 ;; esac
exit $CODE
