"""Short seeded runs: seed 3, which once failed, and 4, which has notices."""

import pathlib

import pytest

from standins import soak

SECONDS = 2.5


@pytest.mark.parametrize("seed", [3, 4])
def test_soak_run_breaks_no_guarantee(
    seed: int, tmp_path: pathlib.Path
) -> None:
    outcome = soak.run_seed(seed, SECONDS, tmp_path)
    assert not outcome.violations
    assert outcome.statuses[200]
    assert outcome.actions
