"""Which idempotency keys are accepted."""

import uuid

import hypothesis
import hypothesis.strategies as st

from wagtailstream_core import clock, errors, idempotency

NOW = 1_700_000_000.0
WINDOW_SECONDS = 60.0


def make_key(at: float, low: int = 0) -> str:
    milliseconds = round(at * 1000)
    return str(uuid.UUID(int=milliseconds << 80 | 7 << 76 | 2 << 62 | low))


@hypothesis.settings(derandomize=True)
@hypothesis.given(st.integers(-200_000, 200_000), st.integers(0, 2**62 - 1))
def test_age_decides(age_milliseconds: int, low: int) -> None:
    age = age_milliseconds / 1000
    found = idempotency.check_key(
        make_key(NOW - age, low), WINDOW_SECONDS, NOW, "p"
    )
    if age > WINDOW_SECONDS:
        assert found.error.reason is errors.Reason.IDEMPOTENCY_KEY_STALE
    elif age < -clock.MAX_CLOCK_SKEW_SECONDS:
        assert found.error.reason is errors.Reason.IDEMPOTENCY_KEY_INVALID
    else:
        assert abs(found.ok - (NOW - age)) < 0.001


@hypothesis.settings(derandomize=True)
@hypothesis.given(st.one_of(st.text(max_size=40), st.uuids().map(str)))
def test_anything_else_is_not_run(text: str) -> None:
    found = idempotency.check_key(text, WINDOW_SECONDS, NOW, "p")
    if found.is_error():
        assert found.error.outcome is errors.Outcome.NOT_RUN
    else:
        assert uuid.UUID(text).version == 7


def test_only_the_canonical_form_is_a_key() -> None:
    key = make_key(NOW)
    for other in (key.replace("-", ""), "{" + key + "}", f"urn:uuid:{key}"):
        found = idempotency.check_key(other, WINDOW_SECONDS, NOW, "p")
        assert found.error.reason is errors.Reason.IDEMPOTENCY_KEY_INVALID
    assert idempotency.check_key(key.upper(), WINDOW_SECONDS, NOW, "p").is_ok()
