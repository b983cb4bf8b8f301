#!/bin/sh
# Check that the stand-ins of the second review's scripts can be loaded. They use the
# standard library alone and need no build.
cd "$(dirname "$0")" || exit 2
for file in 4/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file" || exit 2
done
