#!/usr/bin/env bash
# Replaces two machines of the core, 6.5 s apart. TROUBLE=0: replaces none.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-rig2 ] && [ -x target/papayarock ] || exit 2
exec target/review-rig2 replaced review/6/record.txt
