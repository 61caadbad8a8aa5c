#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/review/world && -x target/release/chicoryhollow-node ]] || exit 2
set -m
target/review/world stop review/5/record.txt &
world=$!
trap 'kill -KILL -- "-$world"; exit 2' INT TERM
wait "$world"
