#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exit code: 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/basilloomd ] || exit 2
exec target/review/standin lapsed-entries review/1 review/1/record.txt
