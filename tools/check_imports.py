"""Checks that imports point from entry and agent to platform and core."""

import ast
import pathlib
import sys

FORBIDDEN = {
    "wagtailstream_core": {
        "wagtailstream_platform",
        "wagtailstream_entry",
        "wagtailstream_agent",
        "standins",
        "experiments",
    },
    "wagtailstream_platform": {
        "wagtailstream_entry",
        "wagtailstream_agent",
        "standins",
        "experiments",
    },
    "wagtailstream_entry": {"wagtailstream_agent", "standins", "experiments"},
    "wagtailstream_agent": {"wagtailstream_entry", "standins", "experiments"},
}


def imported_packages(source: str) -> set[str]:
    """Return the top-level packages that a module imports.

    :param source: the module's text.
    """
    packages: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            packages |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            packages.add(node.module.split(".")[0])
    return packages


def find_violations(root: pathlib.Path) -> list[str]:
    """Return one line for each import in a forbidden direction.

    :param root: the repository's root.
    """
    violations = []
    for path in sorted((root / "packages").rglob("*.py")):
        forbidden = FORBIDDEN.get(path.parent.name, set())
        for package in sorted(imported_packages(path.read_text()) & forbidden):
            violations.append(f"{path.relative_to(root)}: imports {package}")
    return violations


if __name__ == "__main__":
    found = find_violations(pathlib.Path(__file__).parent.parent)
    print("\n".join(found) or "imports: entry, agent -> platform -> core")
    sys.exit(1 if found else 0)
