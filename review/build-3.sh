#!/bin/bash
# Builds the stand-ins of the cases 11 to 15.
set -e
cd "$(dirname "$0")/.."
for n in 11 12 13 14 15; do
  go build -tags review -o "target/review-3-$n" "./review/$n"
done
