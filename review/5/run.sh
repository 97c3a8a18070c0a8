#!/usr/bin/env bash
# Runs this case; TROUBLE=0 leaves out the disruption.
exec "$(dirname "$0")/../standin/run.sh" "$(dirname "$0")"
