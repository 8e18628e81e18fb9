"""A session keeps its version until the version is withdrawn.

Neither a roll-out, nor another entry, nor a rotated session key may move a
session to another version.
"""

import base64
import secrets

from standins import fleet
from tests.integration import configuration_support as shared
from tests.integration import support


def make_rotated_keys(started: fleet.Fleet) -> support.Json:
    """Return settings that sign with a new key and still accept the old."""
    path = started.directory / "session-2.key"
    path.write_text(base64.b64encode(secrets.token_bytes(32)).decode())
    old = started.directory / "session.key"
    return {
        "session_keys": {
            "signing": "session-2",
            "keys": {
                "session-1": {"file": str(old)},
                "session-2": {"file": str(path)},
            },
        }
    }


def ask(started: fleet.Fleet, index: int, token: str = "") -> support.Answer:
    headers = {"Wagtail_Session": token} if token else {}
    return support.chat(started.entries[index], "Go on.", **headers)


def test_a_session_keeps_its_version_until_it_is_withdrawn() -> None:
    with support.run_fleet(entries=2) as started:
        token = ask(started, 0).headers["Wagtail-Session"]
        started.run_operator_command(
            "bob", "bundle", "advance", "drafter", "--to", "2"
        )
        assert ask(started, 1).headers["Wagtail-Version"] == "2"
        assert ask(started, 1, token).headers["Wagtail-Version"] == "1"

        started.entries[0].kill()
        started.start_entry(settings=make_rotated_keys(started))
        del started.entries[0]
        started.wait_ready()
        kept = ask(started, 1, token)
        assert kept.headers["Wagtail-Version"] == "1"
        renewed = kept.headers["Wagtail-Session"]
        assert renewed != token
        assert ask(started, 1, renewed).headers["Wagtail-Version"] == "1"

        started.run_operator_command(
            "alice", "bundle", "withdraw", "drafter", "1"
        )
        ran = len(shared.list_model_runs(started, "drafter", "1"))
        for pinned in (token, renewed):
            refused = ask(started, 1, pinned)
            assert refused.code == "version-withdrawn"
            assert refused.outcome == "not-run"
        assert len(shared.list_model_runs(started, "drafter", "1")) == ran
        assert ask(started, 1).headers["Wagtail-Version"] == "2"


def test_a_token_of_another_customer_or_an_unknown_key_is_refused() -> None:
    with support.run_fleet() as started:
        token = ask(started, 0).headers["Wagtail-Session"]
        stolen = support.chat(
            started.entries[0],
            "Go on.",
            key=support.NARROW_KEY,
            Wagtail_Session=token,
        )
        assert (stolen.code, stolen.outcome) == ("session-invalid", "not-run")
