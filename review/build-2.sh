#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. Needs what the
# build of the deploy file needs: a C++20 compiler and nlohmann-json.
set -e
cd "$(dirname "$0")/standins-2"
mkdir -p bin
for program in overtaken_report restarted_runner forgotten_jobs \
  cut_while_leaving lasting_task; do
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/$program" \
    "$program.cpp" world.cpp
done
