#!/bin/sh
# Builds the driver of the cases, with all stand-ins, into review/bin/. Run it after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/ ./review/driver
