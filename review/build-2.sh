#!/bin/sh
# Builds the stand-ins of the cases 6 and later, after the build of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/standin-2/bin
GOPROXY=off go build -o review/standin-2/bin/ ./review/standin-2
