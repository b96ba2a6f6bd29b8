#!/bin/sh
# Plays this case. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# With TROUBLE=0 the disruption is left out. `record.txt` says what was sent, answered and run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-2/release/review-stand-ins-2
[ -x "$program" ] || { echo "not built: run review/build-2.sh" >&2; exit 2; }
dir=$(mktemp -d) || exit 2
cleanup() {
    # Processes of this run that are left if the program itself was ended.
    if [ -f "$dir/run/pids" ]; then
        while read -r pid; do
            if [ -r "/proc/$pid/cmdline" ] && tr "\0" " " <"/proc/$pid/cmdline" | grep -qF "$dir"; then
                kill -9 "$pid" 2>/dev/null
            fi
        done <"$dir/run/pids"
    fi
    rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
timeout -k 2 119 "$program" machine-back "$root" "$dir/run" "$here/record.txt"
code=$?
[ "${KEEP:-}" ] && cp -r "$dir" "$KEEP"
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
