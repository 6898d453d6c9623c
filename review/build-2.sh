#!/usr/bin/env bash
# Builds the stand-ins of the second review: one program with all cases. It needs no network.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/second
