#!/usr/bin/env bash
# Plays the case "older-answer" (review/standin2) and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/standin2 ] && [ -x ../../target/opaldale ] || exit 2
exec ../../target/standin2 -case older-answer -root ../.. -record record.txt
