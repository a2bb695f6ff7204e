#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The build of the deploy file comes before.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin-2
