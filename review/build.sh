#!/bin/sh
# The stand-ins of the cases are plain modules that use built-in modules of Node.js only. This checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in common/*.mjs [0-9]/*.mjs; do
	node --check "$file"
done
