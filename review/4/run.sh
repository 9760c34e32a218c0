#!/usr/bin/env bash
# Runs this case. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/samphirestair ] && [ -x review/bin/rig ] || { echo "build first: the deploy file's build line and review/build.sh" >&2; exit 2; }
exec review/bin/rig stop review/4
