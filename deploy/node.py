"""Runs the node program from a checkout without installing the package."""

import sys

import module_bundle

module_bundle.install()
sys.path.insert(0, f"{module_bundle.ROOT}/src")

from verbenacross.console.node_application import main  # noqa: E402

if __name__ == "__main__":
    main()
