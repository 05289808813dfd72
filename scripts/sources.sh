#!/usr/bin/env bash
# Lists the C++ sources, except for generated code.
cd "$(dirname "$0")/.." || exit 1
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '^libs/proto/generated/' | while read -r file; do
    [ -f "$file" ] && echo "$file"
done
