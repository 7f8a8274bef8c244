#!/usr/bin/env bash
# Prepares the cases of review/11 to review/15. They start the program of the deploy file; all
# stand-ins are Python, with the standard library only, so there is nothing to compile but a check.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || {
  echo "python3 of version 3.9 or later is needed" >&2
  exit 1
}
for file in stand-ins-3/*.py 1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
