#!/usr/bin/env bash
# Runs the operators' standing test. Exit status: 0 passed, 1 failed, 2 not run or no readable verdict.
#
#   benchmarks/standing.sh "WHY" [SITE]           runs the quick days, or all six with --full as first argument
#   benchmarks/standing.sh --read FILE            reads the verdict from the saved output of an earlier run
#
# WHY is one plain sentence of less than 120 characters. The kit is expected at $KIT, by default beside the
# checkout. Run it on an otherwise idle machine. CI never runs it, as it has no kit.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2

read_verdict() {  # the last GATE line counts: earlier ones may quote a verdict
    local line
    line=$(grep -E '^GATE ' "$1" | tail -n 1)
    case "$line" in
        "GATE passed" | "GATE passed ("*")") echo "standing test: passed"; return 0 ;;
        "GATE failed"*) echo "standing test: failed${line#GATE failed}"; return 1 ;;
        *) echo "standing test: no verdict in the output"; return 2 ;;
    esac
}

if [ "${1:-}" = --read ]; then
    [ -r "${2:-}" ] || { echo "standing test: cannot read '${2:-}'"; exit 2; }
    read_verdict "$2"
    exit
fi
days=--quick
if [ "${1:-}" = --full ]; then days=; shift; fi
why=${1:-}
if [ -z "$why" ] || [ "${#why}" -ge 120 ]; then
    echo "standing test: WHY must be one sentence of 1 to 119 characters, not ${#why}"
    exit 2
fi
kit=${KIT:-../given/kit}
[ -x "$kit/more/mass/bin/lbreal" ] || { echo "standing test: no kit at '$kit'"; exit 2; }
out=$(mktemp) || exit 2
trap 'rm -f "$out"' EXIT
"$kit/more/mass/bin/lbreal" score "${2:-$kit/sites/houston-live.toml}" $days --why "$why" 2>&1 | tee "$out"
run_status=${PIPESTATUS[0]}
read_verdict "$out"
verdict_status=$?
# A benchmark that exits with an error has not passed, whatever it printed before.
if [ "$verdict_status" = 0 ] && [ "$run_status" != 0 ]; then
    echo "standing test: the benchmark exited with status $run_status"
    exit 2
fi
exit "$verdict_status"
