#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/apps/jasmined ] || exit 2
[ -x review/standins-2/bin/cut_while_leaving ] || exit 2
exec review/standins-2/bin/cut_while_leaving "$folder/record.txt"
