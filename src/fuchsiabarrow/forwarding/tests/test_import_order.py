"""Order in which the modules of the subpackage import each other."""

import ast
import graphlib
import pathlib

from fuchsiabarrow import forwarding

PACKAGE = "fuchsiabarrow.forwarding"


def find_imports(path: pathlib.Path) -> set[str]:
    """Returns the modules of the subpackage that a module imports."""
    return {
        alias.name
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.ImportFrom) and node.module == PACKAGE
        for alias in node.names
    }


# Handlers imported the service for type checking and called it back, although
# it imports them.
def test_modules_do_not_import_each_other_circularly():
    folder = pathlib.Path(forwarding.__file__).parent
    imports = {path.stem: find_imports(path) for path in folder.glob("*.py")}
    assert imports["service"]
    # Raises CycleError if there is a circle.
    graphlib.TopologicalSorter(imports).prepare()
