#!/usr/bin/env bash
# Plays this case after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption
# out. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
if [ ! -x "$root/target/applepier" ] || [ ! -x "$root/target/review-2/kit2" ]; then
	echo "build first: the line of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
exec "$root/target/review-2/kit2" ids "$root" "$folder"
