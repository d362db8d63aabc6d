#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs no network after the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/bin && exec go build -o review/bin/ ./review/rig
