"""The choice of versions against a naive model of the bundle's rules."""

import hypothesis
from hypothesis import strategies

from tests.core import support
from wagtailstream_core import bundle, configuration, errors, versions

SEEDED = hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
VERSIONS = ["1", "2", "3"]
SUBSETS = strategies.sets(strategies.sampled_from(VERSIONS))


def make_state(
    allowed: set[str], withdrawn: set[str], suspended: set[str], stage: int
) -> configuration.Configuration:
    """Return a state with the test bundle and the given allowed versions."""
    document = support.make_bundle(
        ("models.0.versions", VERSIONS),
        ("customers.0.allow.0.versions", sorted(allowed)),
    )
    return configuration.Configuration(
        1,
        1,
        bundle.parse(document, "test"),
        rollouts=(configuration.RolloutStage("drafter", "2", stage),),
        withdrawn=frozenset(
            configuration.ModelVersion("drafter", v) for v in withdrawn
        ),
        suspended=frozenset(
            configuration.ModelVersion("drafter", v) for v in suspended
        ),
    )


def list_naive(
    allowed: set[str], withdrawn: set[str], suspended: set[str]
) -> list[str]:
    return [
        version
        for version in VERSIONS
        if (version in allowed or allowed == set())
        and version not in withdrawn
        and version not in suspended
    ]


def choose_naive(live: list[str], share: float, position: float) -> str | None:
    if "2" in live and position < share:
        return "2"
    if "1" in live:
        return "1"
    return live[0] if live else None


@SEEDED
@hypothesis.given(
    SUBSETS,
    SUBSETS,
    SUBSETS,
    strategies.integers(0, 2),
    strategies.text(max_size=8),
)
def test_choices_agree_with_the_naive_reading(
    allowed: set[str],
    withdrawn: set[str],
    suspended: set[str],
    stage: int,
    seed: str,
) -> None:
    state = make_state(allowed, withdrawn, suspended, stage)
    assert state.bundle is not None
    customer, model = state.bundle.customers[0], state.bundle.models[0]
    live = list_naive(allowed, withdrawn, suspended)
    chosen = versions.choose_version(state, customer, model, seed, "test")
    expected = choose_naive(
        live,
        [0.1, 0.5, 1.0][stage],
        versions.find_share_position(seed, "drafter"),
    )
    assert (chosen.ok if chosen.is_ok() else None) == expected
    for version in VERSIONS:
        checked = versions.check_version(
            state, customer, model, version, "test"
        )
        assert checked.is_ok() == (version in live)
        if checked.is_error():
            stopped = version in withdrawn | suspended
            assert checked.error.outcome is errors.Outcome.NOT_RUN
            assert checked.error.reason is (
                errors.Reason.VERSION_WITHDRAWN
                if stopped
                else errors.Reason.MODEL_FORBIDDEN
            )


def test_a_session_that_has_the_candidate_keeps_it_as_stages_rise() -> None:
    """A position below a stage's share is below the shares of later ones."""
    states = [make_state(set(), set(), set(), stage) for stage in range(3)]
    counts = [0, 0, 0]
    for number in range(2000):
        had_candidate = False
        for stage, state in enumerate(states):
            assert state.bundle is not None
            chosen = versions.choose_version(
                state,
                state.bundle.customers[0],
                state.bundle.models[0],
                str(number),
                "test",
            )
            assert not had_candidate or chosen.ok == "2"
            had_candidate = chosen.ok == "2"
            counts[stage] += had_candidate
    assert 150 < counts[0] < 250
    assert 900 < counts[1] < 1100
    assert counts[2] == 2000
