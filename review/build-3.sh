#!/bin/sh
# Builds the scripts' programs, with the stand-ins of tests/router that they
# use, into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/main.cc
do
  number=$(basename "$(dirname "$case")")
  ${CXX:-g++} -std=c++17 -O1 -g -Wall -I. -Ireview/lib-3 "$case" \
    -o "target/review-3/$number" -pthread
done
