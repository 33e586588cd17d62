"""Loads the modules of libraries from one file, which the build writes.

Finding and reading some 400 modules takes thousands of system calls, a part of the
start-up time, for which callers wait after a restart. The program's own modules are not
in the file, so it is never out of date with them.
"""

from __future__ import annotations

import marshal
import os
import sys
from importlib.machinery import ModuleSpec, SourceFileLoader
from types import CodeType, ModuleType
from typing import NamedTuple

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PATH = os.path.join(ROOT, "target", "modules.bundle")
OWN_PACKAGE = "verbenacross"
# Code objects of another version of Python cannot be loaded.
VERSION = f"{sys.version} {sys.prefix}"
LENGTH_BYTES = 8


class Entry(NamedTuple):
    """Place of a module's code in the file.

    ``locations`` are the directories of a package, ``None`` for a module.
    """

    offset: int
    size: int
    origin: str
    locations: list[str] | None


class ModuleBundle:
    """Finds and loads modules in the file; implements ``MetaPathFinder``."""

    def __init__(self, file_number: int, entries: dict[str, Entry]) -> None:
        self._file_number = file_number
        self._entries = entries

    @classmethod
    def from_file(cls, path: str) -> ModuleBundle | None:
        """Opens a bundle; ``None`` if there is none for this version of Python."""
        try:
            file_number = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None
        length = int.from_bytes(os.pread(file_number, LENGTH_BYTES, 0), "big")
        try:
            version, rows = marshal.loads(os.pread(file_number, length, LENGTH_BYTES))
        except (EOFError, TypeError, ValueError):
            version, rows = "", {}
        if version != VERSION:
            os.close(file_number)
            return None
        start = LENGTH_BYTES + length
        entries = {
            name: Entry(start + offset, size, origin, locations)
            for name, (offset, size, origin, locations) in rows.items()
        }
        return cls(file_number, entries)

    def find_spec(
        self, name: str, path: object = None, target: object = None
    ) -> ModuleSpec | None:
        """Returns how to load a module, ``None`` if it is not in the bundle."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        spec = ModuleSpec(name, self, origin=entry.origin)
        spec.submodule_search_locations = entry.locations
        spec.has_location = True
        return spec

    def create_module(self, spec: ModuleSpec) -> ModuleType | None:
        """Leaves the creation of a module to the import system."""
        return None

    def exec_module(self, module: ModuleType) -> None:
        """Runs the code of a module."""
        entry = self._entries[module.__name__]
        code = marshal.loads(os.pread(self._file_number, entry.size, entry.offset))
        exec(code, module.__dict__)


def install() -> None:
    """Loads modules from the bundle if there is one, else as usual."""
    bundle = ModuleBundle.from_file(PATH)
    if bundle is not None:
        sys.meta_path.insert(0, bundle)


def write(path: str, modules: dict[str, tuple[ModuleSpec, CodeType]]) -> None:
    """Writes the code of modules to a bundle, replacing it at once."""
    rows = {}
    codes = []
    offset = 0
    for name, (spec, code) in modules.items():
        data = marshal.dumps(code)
        rows[name] = (offset, len(data), spec.origin, spec.submodule_search_locations)
        codes.append(data)
        offset += len(data)
    index = marshal.dumps((VERSION, rows))
    temporary = f"{path}.new"
    with open(temporary, "wb") as file:
        file.write(len(index).to_bytes(LENGTH_BYTES, "big"))
        file.write(index)
        file.writelines(codes)
    os.replace(temporary, path)


def compile_library_modules() -> dict[str, tuple[ModuleSpec, CodeType]]:
    """Compiles the modules that have been imported, but for the program's own."""
    modules = {}
    for name, module in sys.modules.items():
        spec = getattr(module, "__spec__", None)
        if spec is None or not isinstance(spec.loader, SourceFileLoader):
            continue
        if name.partition(".")[0] in (OWN_PACKAGE, "module_bundle", "__main__"):
            continue
        # Without docstrings, the process takes less memory.
        code = compile(
            spec.loader.get_data(spec.origin),
            spec.origin,
            "exec",
            dont_inherit=True,
            optimize=2,
        )
        modules[name] = (spec, code)
    return modules


def main() -> None:
    """Writes the bundle of the modules that the node program imports."""
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    sys.path[:0] = [os.path.join(ROOT, "src"), os.path.join(ROOT, "target", "deps")]
    import verbenacross.console.node_process  # noqa: F401

    write(PATH, compile_library_modules())


if __name__ == "__main__":
    main()
