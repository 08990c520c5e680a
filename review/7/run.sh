#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
PYTHONPATH=target/deps:target/review-2 exec python3 \
  "target/review-2/case_$(basename "$folder").py" "$folder/record.txt"
