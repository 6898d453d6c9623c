#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file. Everything goes under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/[0-9]; do
	go build -o "target/review/case$(basename "$folder")" "./$folder"
done
