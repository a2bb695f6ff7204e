#!/usr/bin/env bash
# Runs the case and writes record.txt beside this file. Exit status: 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
export APRICOTHUB=$PWD/../../target/apricothub
standin=$PWD/../../target/review-standin
if [ ! -x "$APRICOTHUB" ] || [ ! -x "$standin" ]; then
  echo "build the deploy file, and run review/build.sh, first"
  exit 2
fi
exec "$standin" slow-readers
