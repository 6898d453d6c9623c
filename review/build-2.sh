#!/usr/bin/env bash
# Builds the cases of the second review with their stand-ins, after the build of the deploy file. It needs
# no network. Everything goes under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/[4-8]; do
	go build -o "target/review-2/case$(basename "$folder")" "./$folder"
done
