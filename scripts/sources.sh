#!/usr/bin/env bash
# Lists the hand-written C++ sources; generated code is left out.
cd "$(dirname "$0")/.." || exit 1
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '^libs/proto/generated/' | while read -r file; do
    [ -f "$file" ] && echo "$file"
done
