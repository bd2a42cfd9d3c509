#!/usr/bin/env bash
# Plays case 3 with separate processes of the project on loopback addresses. Exits with
# 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/jasmined target/review/stand; do
  if [ ! -x "$program" ]; then
    echo "$program is not built" >&2
    exit 2
  fi
done
exec target/review/stand leaving "review/3/record.txt"
