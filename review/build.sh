#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/world review/stand_ins/world.rs
rustc --edition 2024 -O -o target/review/leaving review/stand_ins/leaving.rs
rustc --edition 2024 -O -o target/review/extra_bytes review/stand_ins/extra_bytes.rs
rustc --edition 2024 -O -o target/review/blank_line review/stand_ins/blank_line.rs
