#!/usr/bin/env bash
# Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0: without the
# disruption. KEEP=1 keeps settings and logs in the temporary folder.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/review-2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
target/review-2/review-2 stale review/7 &
case=$!
# If this script is ended from outside, the controllers and the temporary folder go as well.
trap 'kill $(ps -o pid= --ppid $case) $case 2>/dev/null; rm -rf "${TMPDIR:-/tmp}/review-2-$case"; exit 2' INT TERM
wait $case
