"""The configuration fold and its snapshots against a naive model."""

import collections.abc
import dataclasses
import typing

import hypothesis
from hypothesis import strategies

from tests.core import support
from wagtailstream_core import (
    canonical,
    configuration,
    records,
    signing,
    snapshots,
)

BUNDLES = (
    support.make_bundle(),
    support.make_bundle(
        ("models.0.rollout", {"candidate": "2", "stages": [1.0]})
    ),
    support.make_bundle(("models.0.rollout", None)),
    support.make_bundle(("models.0.stable", "9")),
)
OPERATORS_ONLY = {"publish", "approve", "withdraw", "reinstate"}
SEEDED = hypothesis.settings(derandomize=True, max_examples=150, deadline=None)


@dataclasses.dataclass(frozen=True)
class Step:
    """One append of a random history.

    :param lag: how many offsets the base is behind the current revision.
    :param choice: selects the bundle, stage, digest or other value.
    """

    kind: str
    signer: str
    lag: int
    version: str
    choice: int


STEPS = strategies.lists(
    strategies.builds(
        Step,
        strategies.sampled_from(
            [
                "publish",
                "publish",
                "approve",
                "approve",
                "advance",
                "advance",
                "withdraw",
                "suspend",
                "reinstate",
                "quarantine",
                "snapshot",
                "garbage",
            ]
        ),
        strategies.sampled_from(["alice", "bob", "bob", "fleet", "mallory"]),
        strategies.sampled_from([0, 0, 0, 0, 1]),
        strategies.sampled_from(["1", "2"]),
        strategies.integers(0, 3),
    ),
    max_size=40,
)


class NaiveConfiguration:
    """A naive model of the fold, which keeps the state in one dict."""

    def __init__(self) -> None:
        self.state: support.Json = {
            "offset": -1,
            "revision": -1,
            "bundle": None,
            "proposal": None,
            "publisher": None,
            "stages": {},
            "withdrawn": set(),
            "suspended": set(),
            "quarantined": {},
        }

    def apply(self, step: Step, body: support.Json, time: float) -> None:
        state = self.state
        state["offset"] += 1
        if step.signer == "mallory" or step.kind in ("garbage", "snapshot"):
            return
        if step.kind == "quarantine":
            for digest in list(state["quarantined"]):
                if state["quarantined"][digest] <= time:
                    del state["quarantined"][digest]
            state["quarantined"][body["digest"]] = body["until"]
            return
        if step.signer == "fleet" and step.kind in OPERATORS_ONLY:
            return
        if body["base"] != state["revision"]:
            return
        if getattr(self, f"_{step.kind}")(step, body):
            state["revision"] = state["offset"]

    def _publish(self, step: Step, body: support.Json) -> bool:
        if body["bundle"]["models"][0]["stable"] == "9":
            return False
        self.state["proposal"] = body["bundle"]
        self.state["publisher"] = step.signer
        return True

    def _approve(self, step: Step, body: support.Json) -> bool:
        state, proposal = self.state, self.state["proposal"]
        if proposal is None or canonical.digest(proposal) != body["digest"]:
            return False
        if state["publisher"] == step.signer:
            return False
        rollout = proposal["models"][0]["rollout"]
        old = state["stages"].get("drafter", 0)
        state["stages"] = (
            {"drafter": min(old, len(rollout["stages"]) - 1)}
            if rollout
            else {}
        )
        state["bundle"], state["proposal"] = proposal, None
        state["publisher"] = None
        return True

    def _advance(self, step: Step, body: support.Json) -> bool:
        in_force = self.state["bundle"]
        rollout = in_force["models"][0]["rollout"] if in_force else None
        if rollout is None or body["candidate"] != rollout["candidate"]:
            return False
        if body["stage"] != self.state["stages"]["drafter"] + 1:
            return False
        if body["stage"] >= len(rollout["stages"]):
            return False
        self.state["stages"]["drafter"] = body["stage"]
        return True

    def _withdraw(self, step: Step, body: support.Json) -> bool:
        self.state["withdrawn"].add(body["version"])
        return True

    def _suspend(self, step: Step, body: support.Json) -> bool:
        self.state["suspended"].add(body["version"])
        return True

    def _reinstate(self, step: Step, body: support.Json) -> bool:
        if body["version"] not in self.state["suspended"]:
            return False
        self.state["suspended"].remove(body["version"])
        return True


def make_body(
    step: Step, naive: support.Json, state: configuration.Configuration
) -> support.Json:
    """Return the JSON body of a step's record."""
    body: support.Json = {
        "kind": step.kind,
        "base": max(-1, naive["revision"] - step.lag),
    }
    named = {"model": "drafter", "version": step.version}
    proposed = naive["proposal"] or BUNDLES[0]
    further: dict[str, support.Json] = {
        "publish": {"bundle": BUNDLES[step.choice]},
        "approve": {"digest": canonical.digest(proposed)},
        "advance": {
            "model": "drafter",
            "candidate": step.version,
            "stage": naive["stages"].get("drafter", 0) + min(step.choice, 2),
        },
        "withdraw": named,
        "suspend": {**named, "evidence": "test"},
        "reinstate": named,
        "quarantine": {
            "digest": f"{step.choice:064x}",
            "until": naive["offset"] + 10.0 * step.choice,
        },
        "snapshot": {
            "as_of": state.offset,
            "state": snapshots.dump_state(state),
        },
    }
    return body | further.get(step.kind, {})


@dataclasses.dataclass(frozen=True)
class History:
    """A random history and the states after each record.

    :param states: the initial state, then the state after each record.
    """

    records: list[configuration.LogRecord]
    states: list[configuration.Configuration]
    naive_states: list[support.Json]


def play(steps: collections.abc.Sequence[Step]) -> History:
    """Append all steps and apply each to the fold and to the naive model."""
    naive = NaiveConfiguration()
    state = configuration.Configuration()
    history = History([], [state], [view_naive(naive.state)])
    for offset, step in enumerate(steps):
        body = make_body(step, naive.state, state)
        payload = (
            b"garbage"
            if step.kind == "garbage"
            else signing.seal(body, support.SIGNERS[step.signer])
        )
        record = configuration.LogRecord(offset, payload, float(offset))
        naive.apply(step, body, float(offset))
        state = configuration.fold(
            state, record, support.KEYRING
        ).configuration
        history.records.append(record)
        history.states.append(state)
        history.naive_states.append(view_naive(naive.state))
    return history


def view_naive(state: support.Json) -> support.Json:
    """Return a copy of a naive state, with digests in place of bundles."""
    copied = dict(state)
    for name in ("stages", "quarantined"):
        copied[name] = dict(state[name])
    for name in ("withdrawn", "suspended"):
        copied[name] = set(state[name])
    copied["bundle"] = state["bundle"] and canonical.digest(
        view_document(state["bundle"])
    )
    copied["proposal"] = state["proposal"] and canonical.digest(
        view_document(state["proposal"])
    )
    return copied


def view_document(document: typing.Any) -> typing.Any:
    """Return the parts of a bundle that are compared."""
    return {
        "rollout": document["models"][0]["rollout"],
        "customers": [c["name"] for c in document["customers"]],
    }


def view(state: configuration.Configuration) -> support.Json:
    """Return a state of the fold in the form of :func:`view_naive`."""
    proposal = state.proposal
    return {
        "offset": state.offset,
        "revision": state.revision,
        "bundle": state.bundle
        and canonical.digest(
            view_document(state.bundle.model_dump(mode="json"))
        ),
        "proposal": proposal
        and canonical.digest(
            view_document(proposal.bundle.model_dump(mode="json"))
        ),
        "publisher": proposal and proposal.publisher,
        "stages": {r.model: r.stage for r in state.rollouts},
        "withdrawn": {v.version for v in state.withdrawn},
        "suspended": {v.version for v in state.suspended},
        "quarantined": {q.digest: q.until for q in state.quarantined},
    }


@SEEDED
@hypothesis.given(STEPS)
def test_fold_agrees_with_the_naive_model(steps: list[Step]) -> None:
    history = play(steps)
    for state, naive in zip(history.states, history.naive_states, strict=True):
        assert view(state) == naive


@SEEDED
@hypothesis.given(
    STEPS, strategies.lists(strategies.integers(0, 39), max_size=60)
)
def test_late_and_repeated_records_change_nothing(
    steps: list[Step], deliveries: list[int]
) -> None:
    history = play(steps)
    state = history.states[-1]
    for index in deliveries:
        if index < len(history.records):
            folded = configuration.fold(
                state, history.records[index], support.KEYRING
            )
            assert folded.configuration is state


@SEEDED
@hypothesis.given(STEPS, strategies.integers(0, 40))
def test_a_late_reader_restores_the_same_state_or_none(
    steps: list[Step], first: int
) -> None:
    """The state is the fold's; None only without a usable snapshot."""
    history = play(steps)
    first = min(first, len(steps))
    retained = history.records[first:]
    restored = snapshots.restore(retained, first, support.KEYRING)
    has_start = first == 0 or any(
        step.kind == "snapshot"
        and step.signer != "mallory"
        and offset - 1 >= first - 1
        for offset, step in enumerate(steps)
        if offset >= first
    )
    assert (restored is not None) == has_start
    if restored is not None:
        assert restored.configuration == history.states[-1]


@SEEDED
@hypothesis.given(STEPS)
def test_a_snapshot_holds_the_whole_state(steps: list[Step]) -> None:
    state = play(steps).states[-1]
    sealed = snapshots.seal(state, support.SIGNERS["fleet"])
    assert snapshots.read(sealed, support.KEYRING) == state


def test_quarantines_do_not_change_the_revision() -> None:
    quarantine = records.Quarantine(base=-1, digest="0" * 64, until=100.0)
    state = configuration.Configuration()
    for offset in range(2):
        record = support.make_record(offset, quarantine, "fleet")
        state = configuration.fold(
            state, record, support.KEYRING
        ).configuration
    assert state.offset == 1
    assert state.revision == -1
