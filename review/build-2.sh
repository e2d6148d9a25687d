#!/bin/sh
# Builds the program and the stand-ins that the scripts of review/6 and on start.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ .
go build -o target/review-rig ./review/rig
