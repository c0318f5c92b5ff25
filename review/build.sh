#!/usr/bin/env bash
# Builds the program of each case (its stand-ins and its course) into review/bin/.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I common -o "bin/case${source%%/*}" "$source"
done
