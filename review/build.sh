#!/usr/bin/env bash
# Prepares what the scripts in this folder start. The stand-ins are plain modules of Node.js, which need no compilation; this
# checks that they can be read. The programs themselves come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.js [0-9]/*.js; do
  node --check "$file"
done
