#!/bin/bash
# Builds the programs that the cases 6 to 10 start, except those of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review -o target/review-2 ./review/kit-2
