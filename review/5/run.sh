#!/usr/bin/env bash
# Runs case 5 of the second review, "waits-for-headroom", and writes what happened to record.txt beside this file.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 runs it
# without the disruption. Before it: the build of deploy/service.toml, and review/build-2.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
if ! [ -x target/lilacrill ] || ! [ -x target/review-2/case5 ]; then
	echo "build the program with the build of deploy/service.toml, and the stand-ins with review/build-2.sh" >&2
	exit 2
fi
exec target/review-2/case5 "$folder/record.txt"
