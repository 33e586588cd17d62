"""Runs the node program from a checkout without installing the package."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "src"))

from verbenacross.console.node_application import main  # noqa: E402

if __name__ == "__main__":
    main()
