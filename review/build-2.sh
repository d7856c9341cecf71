#!/bin/bash
# Builds the stand-ins that the scripts of review/4 to review/8 start. Needs rustc only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/harness review/standins-2/main.rs
