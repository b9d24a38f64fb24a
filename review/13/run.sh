#!/usr/bin/env bash
# Plays the case and writes record.txt. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 plays the same without the disruption. Needs the build of deploy/system.toml and review/build-3.sh.
here=$(cd "$(dirname "$0")" && pwd) && cd "$here/../.." || exit 2
[ -x target/masticwing-gateway ] && [ -x target/review-3/lab3 ] || { echo "not built"; exit 2; }
target/review-3/lab3 lost-registration "$here/record.txt"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
