"""The ledger's fold against a naive model of the claims."""

import dataclasses

import hypothesis
import hypothesis.strategies as st

from wagtailstream_core import billing, ledger

WINDOW_SECONDS = 10.0
COST = billing.AttemptCost(attempt=1, endpoint="e")
KEY_TIMES = {"k1": 0.0, "k2": 6.0}


@dataclasses.dataclass(frozen=True)
class Event:
    """One record of the history.

    :param at: when the log accepted it, in seconds.
    """

    kind: str
    key: str
    claim_id: str
    at: float


def make_claim(key: str, claim_id: str) -> ledger.Claim:
    return ledger.Claim(
        customer="c",
        service="s",
        idempotency_key=key,
        claim_id=claim_id,
        claimant="127.0.0.1:1",
        request_id="r",
        key_time=KEY_TIMES[key],
    )


def make_entry(event: Event) -> ledger.Entry:
    named = {
        "customer": "c",
        "service": "s",
        "idempotency_key": event.key,
        "claim_id": event.claim_id,
    }
    if event.kind == "claim":
        return make_claim(event.key, event.claim_id)
    if event.kind == "abandonment":
        return ledger.Abandonment(**named)
    return ledger.Completion(
        **named, status=200, body=event.claim_id.encode(), cost=COST
    )


@st.composite
def histories(draw: st.DrawFn) -> list[Event]:
    """Draw records on two keys in log order, including repeated ones."""
    times = sorted(draw(st.lists(st.floats(0, 30), max_size=12)))
    kinds = st.sampled_from(["claim", "claim", "abandonment", "completion"])
    events = []
    for at in times:
        key = draw(st.sampled_from(sorted(KEY_TIMES)))
        claim_id = f"{key}-{draw(st.integers(0, 2))}"
        events.append(Event(draw(kinds), key, claim_id, at))
    return events


@dataclasses.dataclass
class Naive:
    """A naive model of the ledger, applied to a whole history at once."""

    winners: dict[str, str] = dataclasses.field(default_factory=dict)
    decided: dict[str, str] = dataclasses.field(default_factory=dict)
    completed: set[str] = dataclasses.field(default_factory=set)

    def run(self, events: list[Event]) -> None:
        for event in events:
            if event.kind == "claim" and event.claim_id not in self.decided:
                self._decide(event)
            holds = self.winners.get(event.key) == event.claim_id
            if event.kind == "completion" and holds:
                self.completed.add(event.key)
            if event.kind == "abandonment" and (
                event.key not in self.completed
            ):
                if self.decided.get(event.claim_id) != "expired":
                    self.decided[event.claim_id] = "abandoned"
                if holds:
                    del self.winners[event.key]

    def _decide(self, event: Event) -> None:
        if event.at - KEY_TIMES[event.key] > WINDOW_SECONDS:
            self.decided[event.claim_id] = "expired"
        elif event.key in self.winners:
            self.decided[event.claim_id] = "lost"
        else:
            self.winners[event.key] = event.claim_id
            self.decided[event.claim_id] = "won"


@hypothesis.settings(derandomize=True, max_examples=400)
@hypothesis.given(histories())
def test_fold_agrees_with_naive(events: list[Event]) -> None:
    folded, naive = ledger.Ledger(WINDOW_SECONDS), Naive()
    for event in events:
        folded.fold(make_entry(event), event.at)
    naive.run(events)
    for key in KEY_TIMES:
        winner = folded.find_winner(make_claim(key, "").key)
        assert (winner.claim_id if winner else None) == naive.winners.get(key)
        is_kept = folded.find_completion(make_claim(key, "").key) is not None
        assert is_kept == (key in naive.completed)
        for number in range(3):
            claim = make_claim(key, f"{key}-{number}")
            wanted = naive.decided.get(claim.claim_id, "unseen")
            assert folded.find_state(claim).value == wanted


@hypothesis.settings(derandomize=True, max_examples=400)
@hypothesis.given(histories())
def test_at_most_one_claim_ever_wins(events: list[Event]) -> None:
    """At most one claim on a key is dispatched.

    A claimant dispatches once it sees that its claim won, and abandons only
    claims that it has not dispatched. Calls of ``forget`` in between must not
    change the result.
    """
    folded = ledger.Ledger(WINDOW_SECONDS)
    dispatched: dict[str, str] = {}
    for event in events:
        if event.kind == "abandonment" and (
            dispatched.get(event.key) == event.claim_id
        ):
            continue
        folded.fold(make_entry(event), event.at)
        folded.forget(event.at)
        claim = make_claim(event.key, event.claim_id)
        if folded.find_state(claim) is ledger.ClaimState.WON:
            first = dispatched.setdefault(event.key, event.claim_id)
            assert first == event.claim_id


def test_repeat_after_the_window_keeps_the_winner() -> None:
    folded, claim = ledger.Ledger(WINDOW_SECONDS), make_claim("k1", "a")
    folded.fold(claim, WINDOW_SECONDS - 0.1)
    folded.fold(claim, WINDOW_SECONDS + 0.1)
    assert folded.find_state(claim) is ledger.ClaimState.WON


def test_forgets_old_keys_only() -> None:
    folded = ledger.Ledger(WINDOW_SECONDS)
    folded.fold(make_claim("k1", "a"), 1.0)
    folded.fold(make_claim("k2", "b"), 7.0)
    folded.forget(2 * WINDOW_SECONDS)
    assert folded.key_count == 1
    folded.forget(4 * WINDOW_SECONDS)
    assert folded.key_count == 0


def test_completion_keeps_the_bytes() -> None:
    completion = make_entry(Event("completion", "k1", "a", 0.0))
    assert isinstance(completion, ledger.Completion)
    binary = completion.model_copy(update={"body": b"%PDF\xff\x00\xe9"})
    payload = ledger.encode_batch([binary, make_claim("k1", "a")])
    assert ledger.decode_batch(payload) == (binary, make_claim("k1", "a"))
