#!/usr/bin/env bash
# Plays the case. Exit code: 1 rule broken, 0 held, 2 not run. TROUBLE=0: without the
# disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review ] && [ -x ../../target/papayarock ] || { echo "build first"; exit 2; }
exec ../../target/review leave ../../target/papayarock .
