#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The deploy file's build
# builds the project's own program, target/jasmined.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/stand
