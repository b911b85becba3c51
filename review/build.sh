#!/usr/bin/env bash
# Builds the drivers of the cases. They contain the stand-ins of platform, databases and clients.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/[1-5]; do
	if ls "$case"/*.go >/dev/null 2>&1; then
		go build -tags review -o "target/review-$(basename "$case")" "./$case"
	fi
done
