#!/bin/sh
# Builds the stand-ins of the second review. The router itself is built by the build command of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/driver-2 ./review/driver-2
