#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. The build of the deploy file comes first: the stand-ins use the project's
# HTTP library from there.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in World Cases; do
    g++ -std=c++20 -O1 -Wall -Wextra -Ilibs/http/include -Ilibs/base/include -c "review/standin-3/$source.cc" \
        -o "target/review-3/$source.o"
done
g++ -o target/review-3/cases target/review-3/World.o target/review-3/Cases.o target/libs/http/libbalsammill_http.a \
    target/libs/base/libbalsammill_base.a -lpthread
