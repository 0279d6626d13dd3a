#!/bin/bash
# Plays this case: 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
program="target/review-2/case-$(basename "$folder")"
command="$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)"
if [ ! -x "$program" ] || [ ! -x "${command%% *}" ]; then
  echo "not built: run the build of deploy/service.toml and review/build-2.sh" >&2
  exit 2
fi
# shellcheck disable=SC2086
exec "$program" "$folder/record.txt" $command
