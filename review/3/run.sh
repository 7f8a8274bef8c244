#!/usr/bin/env bash
# Plays the case and writes record.txt. Exit code 1: the rule was broken; 0: it held; 2: not played.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/stand-ins handover review/3
