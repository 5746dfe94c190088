#!/usr/bin/env bash
# Builds the stand-ins of the scripts. It needs no network: the module has no dependency.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOTOOLCHAIN=local go build -trimpath -o ../bin/standin .
