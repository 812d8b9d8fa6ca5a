#!/usr/bin/env bash
# The stand-ins are Python 3 with its standard library alone: nothing is compiled or fetched. This
# checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.py [0-9]*/case.py beside/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
python3 -c 'import asyncio, json, struct'
