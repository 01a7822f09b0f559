#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the
# disruption out. It needs the build of deploy/system.toml and review/build.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
for program in damaskgate review-standin; do
  if [ ! -x "$root/target/$program" ]; then
    echo "target/$program is not built"
    exit 2
  fi
done
cd "$root" || exit 2
exec target/review-standin late-request target/damaskgate "$here/record.txt"
