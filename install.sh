#!/usr/bin/env bash
# Installs hoistsaddle and the pinned libraries into .venv of this folder.
set -euo pipefail
cd "$(dirname "$0")"
[ -x .venv/bin/python ] || python3 -m venv .venv
.venv/bin/pip install --quiet -r requirements.txt
# One install call for the whole workspace; build isolation is off because setuptools is pinned above.
workspace=()
for package in packages/*/ platform/; do workspace+=(-e "$package"); done
.venv/bin/pip install --quiet --no-build-isolation --no-deps "${workspace[@]}"
