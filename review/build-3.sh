#!/bin/sh
# Builds what the scripts of review/11 to review/15 start besides the project's own program,
# which the build line of deploy/system.toml makes.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/platform/crew
