#!/bin/sh
# The scripts of cases 6 to 10 and their stand-ins are plain modules that need no build step; this checks that they can be read.
cd "$(dirname "$0")" || exit 2
for file in common-2/*.mjs 6/case.mjs 7/case.mjs 8/case.mjs 9/case.mjs 10/case.mjs; do
	[ ! -f "$file" ] || node --check "$file" || exit 1
done
