"""Tests of the imports between layers."""

import ast
from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / "src" / "cuminhatch"
FORBIDDEN_IMPORTS = {
    "decisions": {"circuits", "socket", "time", "cuminhatch.services"}
    | {"cuminhatch.kernel", "cuminhatch.codecs", "cuminhatch.messages"},
    "codecs": {"circuits", "socket", "cuminhatch.services", "cuminhatch.kernel"},
    "kernel": {"cuminhatch.services", "cuminhatch.decisions", "cuminhatch.codecs"},
    "services": {"cuminhatch.daemon", "cuminhatch.cli", "cuminhatch_standins"},
}


def list_imported_names(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module


@pytest.mark.parametrize("layer", sorted(FORBIDDEN_IMPORTS))
def test_layer_imports_only_layers_below(layer):
    """Guards against decisions that depend on I/O or on one front end."""
    for path in (SOURCE / layer).rglob("*.py"):
        for name in list_imported_names(path):
            parts = name.split(".")
            prefixes = {".".join(parts[:n]) for n in range(1, len(parts) + 1)}
            assert not prefixes & FORBIDDEN_IMPORTS[layer], f"{path} imports {name}"
