#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. It needs no network: they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
