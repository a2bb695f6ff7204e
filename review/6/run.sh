#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# there is no disruption.
set -u
cd "$(dirname "$0")/../.."
for program in target/apricothub target/review-standin-2; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review-standin-2 -case tenants -record review/6/record.txt
