#!/bin/sh
# Builds what the cases of the second review start beside the build of the deploy file. No network:
# the crate has no dependency.
set -eu
cd "$(dirname "$0")/stand-ins-2"
exec cargo build --release --locked --offline
