#!/usr/bin/env bash
# Regenerates the committed protobuf code. Needs the package protobuf-compiler; the build itself does not.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=proto --cpp_out=libs/proto/generated \
    proto/balsammill/options.proto proto/balsammill/v1/*.proto proto/balsammill/internal/*.proto
