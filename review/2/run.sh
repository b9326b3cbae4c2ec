#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-2 ] && [ -x target/release/carobreel ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec target/review/case-2 review/2
