#!/bin/sh
# Builds what the scripts of the cases 4 to 8 start besides the deployed program. Their stand-ins in common-2/ are plain
# JavaScript modules without dependencies, so this only checks that they parse. Needs no network.
set -e
cd "$(dirname "$0")"
for file in common-2/*.js [4-8]/run.js; do
  [ ! -e "$file" ] || node --check "$file"
done
