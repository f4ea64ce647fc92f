#!/bin/sh
# Builds the stand-ins of the review into target/, beside the project's own programs.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/platform/standin
