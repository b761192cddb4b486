#!/usr/bin/env bash
# The operators' standing test, played and judged: exit 0 passed, 1 failed, 2 not played or no verdict to read.
#
#   benchmarks/standing.sh "WHY" [SITE]           the quick days; --full as the first word plays all six
#   benchmarks/standing.sh --read FILE            judge what a play printed earlier
#
# WHY is one plain sentence under 120 characters. The kit is looked for at $KIT, beside the checkout by default.
# It needs the machine to itself, and is never called in CI, where there is no kit.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2

verdict() {  # the verdict is the last line that speaks of the gate: earlier ones may quote it
    local line
    line=$(grep -E '^GATE ' "$1" | tail -n 1)
    case "$line" in
        "GATE passed" | "GATE passed ("*")") echo "standing test: passed"; return 0 ;;
        "GATE failed"*) echo "standing test: failed${line#GATE failed}"; return 1 ;;
        *) echo "standing test: no verdict in what was printed"; return 2 ;;
    esac
}

if [ "${1:-}" = --read ]; then
    [ -r "${2:-}" ] || { echo "standing test: cannot read '${2:-}'"; exit 2; }
    verdict "$2"
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
played=${PIPESTATUS[0]}
verdict "$out"
judged=$?
# A bench that ended badly is no passed test, whatever it printed before.
if [ "$judged" = 0 ] && [ "$played" != 0 ]; then
    echo "standing test: the bench ended with $played"
    exit 2
fi
exit "$judged"
