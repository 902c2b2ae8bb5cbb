# Runs one case: sourced by the run.sh of its folder, with CASE and FOLDER set.
ROOT=$(cd "$FOLDER/../.." && pwd)
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/balancer.toml")
PROGRAM="$ROOT/review/bin/$CASE"
export ROOT RUN
[ -x "$PROGRAM" ] || { echo "cannot run: review/build.sh has not been run" >&2; exit 2; }
[ -n "$RUN" ] || { echo "cannot run: no run command in the deploy file" >&2; exit 2; }
ulimit -n 4096 2>/dev/null || { echo "cannot run: 4,096 descriptors are needed" >&2; exit 2; }
WORK=$(mktemp -d) || exit 2
CHILD=
end() {
    # `timeout` passes the signal on to the program.
    [ -z "$CHILD" ] || { kill "$CHILD" 2>/dev/null; wait "$CHILD"; }
    # Sidecars that the program could not end itself; it removes the files of the others.
    for file in "$WORK"/*.pid; do [ -f "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null; done
    rm -rf "$WORK"
}
trap end EXIT
trap 'exit 2' HUP INT TERM
# The program ends by itself, after 97 s at most; the time is for one that hangs.
timeout -s KILL 112 "$PROGRAM" "$WORK" "$FOLDER/record.txt" &
CHILD=$!
wait "$CHILD"
CODE=$?
CHILD=
case $CODE in 0 | 1) ;; *) CODE=2 ;; esac
exit $CODE
