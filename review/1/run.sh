#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0: the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review/case-$(basename "$here")
[ -x "$program" ] && [ -x "$root/target/knapweedstream" ] || exit 2
cd "$root" && timeout -k 5 115 "$program" "$root" "$here"
code=$?
[ $code -le 1 ] && exit $code
exit 2
