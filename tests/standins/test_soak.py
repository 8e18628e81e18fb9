"""A short seeded run of the soak; each seed that failed stays here."""

import pathlib

import pytest

from standins import soak

SECONDS = 2.5


@pytest.mark.parametrize("seed", [3])
def test_no_promise_is_broken(seed: int, tmp_path: pathlib.Path) -> None:
    outcome = soak.play(seed, SECONDS, tmp_path)
    assert not outcome.broken
    assert outcome.statuses[200]
    assert outcome.actions
