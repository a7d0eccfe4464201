#!/bin/sh
# Builds the stand-ins of all cases. No network is needed once the build of the deploy file has run.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
GOPROXY=off go build -o review/bin/ ./review/standin
