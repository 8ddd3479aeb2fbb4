#!/usr/bin/env bash
# Exit 1 if the rule is broken, 0 if it holds, 2 if the case cannot run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
python3 case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
