#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the node program. The
# stand-ins are Python modules, so only their syntax is checked; the libraries that they
# import are those of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 - <<'END'
import pathlib
import sys

sys.path.insert(0, "")
for folder in ("review/common2", "standins"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
import review.common2.client  # noqa: F401
import review.common2.link  # noqa: F401
END
