"""
Defers the import of packages that import far more than the kernel uses.

``circuits`` imports all of its parts, ``multiprocessing`` and, where it is
installed, ``pkg_resources``. That takes longer than the import of the daemon
itself, and callers wait for a daemon that restarts.
"""

import sys
from importlib.util import find_spec, module_from_spec
from typing import Any

# A package comes before the packages that it contains.
DEFERRED_PACKAGES = ("circuits", "circuits.core")


def defer_package(name: str) -> None:
    """
    Make the modules of a package importable without running the package.

    The package itself runs when one of its own attributes is first used.

    :param name: full name of the package; ignored if it has been imported.
    """
    if name in sys.modules:
        return
    spec = find_spec(name)
    package = module_from_spec(spec)

    def load_attribute(attribute: str) -> Any:
        if attribute.startswith("__"):
            # Asked for by the import system.
            raise AttributeError(f"module {name!r} has no attribute {attribute!r}")
        del package.__getattr__
        spec.loader.exec_module(package)
        return getattr(package, attribute)

    package.__getattr__ = load_attribute
    sys.modules[name] = package


for _name in DEFERRED_PACKAGES:
    defer_package(_name)
