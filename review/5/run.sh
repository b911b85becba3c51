#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-5 ] && [ -x target/oleanderflow-front ] || { echo "run the build of deploy/system.toml and review/build.sh first"; exit 2; }
exec target/review-5
