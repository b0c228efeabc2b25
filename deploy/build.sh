#!/usr/bin/env bash
# Lays what the daemons need under target/deps: pinned libraries, our packages, and everything compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! [ target/deps/.libraries -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps --target target/deps -r deploy/requirements.txt
    python3 -m compileall -q -j 0 --invalidation-mode unchecked-hash target/deps || true
    touch target/deps/.libraries
fi
rm -rf target/deps/hoistsaddle
for source in packages/*/src platform/src; do
    cp -r "$source/hoistsaddle" target/deps/
done
find target/deps/hoistsaddle -name __pycache__ -prune -exec rm -rf {} +
rm -rf target/deps/hoistsaddle/testbed target/deps/hoistsaddle/cli target/deps/hoistsaddle/planner target/deps/hoistsaddle/usage
# Sources are only read at run time and nothing is compiled there: unchecked files need no look at their sources.
python3 -m compileall -q -j 0 --invalidation-mode unchecked-hash target/deps/hoistsaddle
