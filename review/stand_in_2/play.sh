#!/bin/sh
# play.sh FOLDER CASE: plays a case against the program that the deploy file starts. The record goes to
# FOLDER/record.txt. Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
FOLDER=$1
cd "$(dirname "$0")/../.." || exit 2
RUN_COMMAND=$(sed -n 's/^run *= *"\([^"]*\)".*/\1/p' deploy/balancer.toml)
CASE_TMP=$(mktemp -d) || exit 2
export RUN_COMMAND CASE_TMP
export RECORD="$FOLDER/record.txt"
[ -n "$RUN_COMMAND" ] && [ -x build-review-2/cases ] || { rm -rf "$CASE_TMP"; exit 2; }
timeout -k 5 115 build-review-2/cases "$2"
RESULT=$?
[ -n "$KEEP_LOG" ] && cp "$CASE_TMP/log" "$KEEP_LOG"
rm -rf "$CASE_TMP"
case $RESULT in 0 | 1) exit $RESULT ;; *) exit 2 ;; esac
