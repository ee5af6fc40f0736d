#!/bin/sh
# Builds the stand-ins that the scripts start. They use the standard library alone.
set -eu
cd "$(dirname "$0")/stand-ins"
exec cargo build --release --locked --offline
