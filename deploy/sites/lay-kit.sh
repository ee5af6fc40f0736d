#!/usr/bin/env bash
# Lays the kit's files that the bench wants beside a site file: real.json, wire.json and unlock.txt. Git ignores them.
set -euo pipefail
cd "$(dirname "$0")"
kit=${1:-../../../given/kit/more/mass/other}
if [ ! -d "$kit" ]; then
    echo "lay-kit.sh: the kit is missing: there is no folder $kit (give its place as the first argument)" >&2
    exit 1
fi
for file in real.json wire.json unlock.txt; do
    if [ ! -r "$kit/$file" ]; then
        echo "lay-kit.sh: the kit is missing a file: $kit/$file" >&2
        exit 1
    fi
    install -m 644 "$kit/$file" "$file"
done
