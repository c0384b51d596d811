#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin. Needs a C++ compiler and nothing else.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o bin/stand-ins standins/*.cpp -pthread
