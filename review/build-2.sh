#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the project's
# programs: review/rig.py, which needs the standard library only.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/rig.py review/6/case.py review/7/case.py \
  review/8/case.py review/9/case.py review/10/case.py
