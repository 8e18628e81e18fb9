"""Checks that packages/ uses no names of the platform's interfaces.

Only the code under platform/ may depend on the platform.
"""

import pathlib
import re
import sys

# Headers, methods, topics and fields of the platform's protocol, and its
# settings.
NAMES = re.compile(
    r"X-(Request-Id|Deadline-Milliseconds|Credential|Tenant|Expected-Instance"
    r"|Expected-Version|Response-Signature|Not-Executed|Model|Token-Usage"
    r"|Prefix-Hash|Length-Hint|Request-Priority|Confidence|Kv-Backup"
    r"|Pin-Milliseconds|Cold-Milliseconds|Hold|Instance-Id|Weight-Versions)"
    r"|Kv-(From|Fetch)|log-(append|read|newest|join|leave|commit|owners|trim)"
    r"|keyed\.(op|servers|status)|kvCache|kvToken|healthCheckPath"
    r"|internalPortRange|configurationApplyMs|drainTimeoutMs|trafficSplit"
    r"|streamResumption|targetGapMs|coldRemainingMs|maxAttempts|apiKeys"
    r"|coldStartS|coldPerS|coldOvershoot|coldSlack|evacuationMs"
    r"|WAGTAILSTREAM_NODE_FILE|nodeName|machineClass|retryBudgetRatio"
)


def find_violations(root: pathlib.Path) -> list[str]:
    """Return one line for each line of packages/ with a platform name.

    :param root: the root directory of the repository.
    """
    violations = []
    for path in sorted((root / "packages").rglob("*.py")):
        for number, line in enumerate(path.read_text().splitlines(), 1):
            found = NAMES.search(line)
            if found:
                place = f"{path.relative_to(root)}:{number}"
                violations.append(
                    f"{place}: {found.group()} may be used only in platform/"
                )
    return violations


if __name__ == "__main__":
    violations = find_violations(pathlib.Path(__file__).parent.parent)
    print(
        "\n".join(violations)
        or "names: packages/ uses no names of the platform's interfaces"
    )
    sys.exit(1 if violations else 0)
