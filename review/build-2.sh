#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. It needs Go and no network.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review-2/standin2 .
