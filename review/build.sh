#!/usr/bin/env bash
# Checks what the scripts need. The stand-ins are Python and need no build; their
# libraries are those that the build of deploy/system.toml places in target/deps.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="review:.:target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -c "import deployment, http_server, runner"
echo "the stand-ins of the review can be started"
