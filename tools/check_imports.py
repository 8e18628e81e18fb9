"""Checks that packages import only from the layers below them."""

import ast
import pathlib
import sys

# For each package, the packages that it must not import.
FORBIDDEN = {
    "wagtailstream_core": {
        "wagtailstream_runtime",
        "wagtailstream_entry",
        "wagtailstream_agent",
        "standins",
        "experiments",
    },
    "wagtailstream_runtime": {
        "wagtailstream_entry",
        "wagtailstream_agent",
        "standins",
        "experiments",
    },
    "wagtailstream_router": {
        "wagtailstream_adapter",
        "wagtailstream_entry",
        "wagtailstream_agent",
        "standins",
        "experiments",
    },
    "wagtailstream_adapter": {
        "wagtailstream_entry",
        "wagtailstream_agent",
        "standins",
        "experiments",
    },
    "wagtailstream_entry": {"wagtailstream_agent", "standins", "experiments"},
    "wagtailstream_agent": {"wagtailstream_entry", "standins", "experiments"},
}

# The sub-packages of the router, and those that each may import.
ROUTER = "wagtailstream_router"
ROOMS: dict[str, set[str]] = {
    "admission": set(),
    "cascade": set(),
    "engines": set(),
    "flow": set(),
    "instance": {"flow"},
    "zones": set(),
}
# Modules of the router that use the sub-packages, which must not import them.
USERS = {
    "app",
    "escalation",
    "event_relay",
    "exchange",
    "forward_plain",
    "forward_stream",
    "front",
}


def imported_packages(source: str) -> set[str]:
    """Return the top-level packages that a module imports.

    :param source: the module's source code.
    """
    packages: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            packages |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            packages.add(node.module.split(".")[0])
    return packages


def imported_router_modules(source: str) -> set[str]:
    """Return the modules and sub-packages of the router that one imports.

    :param source: the module's source code.
    """
    names: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.ImportFrom) or not node.module:
            continue
        package, _, rest = node.module.partition(".")
        if package == ROUTER:
            names |= {rest} if rest else {alias.name for alias in node.names}
    return names


def find_room_violations(root: pathlib.Path) -> list[str]:
    """Return one line for each import that a sub-package must not make.

    :param root: the root directory of the repository.
    """
    folder = root / "packages" / "wagtailstream-router" / ROUTER
    violations = []
    for room, allowed in ROOMS.items():
        forbidden = (set(ROOMS) - allowed - {room}) | USERS
        for path in sorted((folder / room).rglob("*.py")):
            names = imported_router_modules(path.read_text()) & forbidden
            violations += [
                f"{path.relative_to(root)}: imports {name}, which {room} must"
                " not import"
                for name in sorted(names)
            ]
    return violations


def _list_sources(root: pathlib.Path) -> list[pathlib.Path]:
    folders = (root / "packages", root / "platform")
    return sorted(path for folder in folders for path in folder.rglob("*.py"))


def find_violations(root: pathlib.Path) -> list[str]:
    """Return one line for each forbidden import.

    :param root: the root directory of the repository.
    """
    violations = []
    for path in _list_sources(root):
        parts = path.relative_to(root).parts
        package = next((part for part in parts if part in FORBIDDEN), "")
        forbidden = FORBIDDEN.get(package, set())
        for name in sorted(imported_packages(path.read_text()) & forbidden):
            violations.append(
                f"{path.relative_to(root)}: imports {name}, which {package} "
                "must not import"
            )
    return violations


if __name__ == "__main__":
    root = pathlib.Path(__file__).parent.parent
    violations = find_violations(root) + find_room_violations(root)
    print(
        "\n".join(violations)
        or "imports: all follow adapter -> router, "
        "entry and agent -> runtime -> core, and the router's rooms"
    )
    sys.exit(1 if violations else 0)
