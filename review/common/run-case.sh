#!/bin/bash
# usage: run-case.sh FOLDER   runs the driver of a case with the deploy file's command; exits with
# 1 if the rule was broken, 0 if it held, 2 if the case could not run
folder=$(cd "$1" && pwd)
number=$(basename "$folder")
cd "$folder/../.." || exit 2
driver=target/review/case-$number
if [ ! -x target/cranklock ]; then
  build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)
  sh -c "$build" >&2 || exit 2
fi
if [ ! -x "$driver" ]; then bash review/build.sh >&2 || exit 2; fi
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
# shellcheck disable=SC2086
timeout -k 2 118 "$driver" "$folder/record.txt" $run
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
