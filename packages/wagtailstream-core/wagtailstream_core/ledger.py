"""The fold of claims, by which a non-idempotent request runs at most once.

Before an agent dispatches such a request, it appends a claim. The first claim
in log order wins for good; only its abandonment lets another claim count.
Claims on keys older than the window never count, so the fold forgets them.
"""

import dataclasses
import enum
import typing

import pydantic

from wagtailstream_core import billing, errors

KeyT = typing.TypeVar("KeyT")
ValueT = typing.TypeVar("ValueT")
STREAM_PREFIX = "claims."


def stream_name(service: str) -> str:
    """Return the name of the stream that holds a service's claims.

    :param service: the plain service.
    """
    return STREAM_PREFIX + service


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class ClaimKey:
    """What may run at most once: a key of a customer at a service."""

    customer: str
    service: str
    idempotency_key: str


class Claim(pydantic.BaseModel):
    """Reserves a key for one agent.

    :param claim_id: unique to this try; repeats of the append share it.
    :param claimant: the address of the agent that would run the request.
    :param key_time: the Unix time within the idempotency key.
    :param digest: of what the key was sent with; a key sent again with
        anything else is refused.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    kind: typing.Literal["claim"] = "claim"
    customer: str
    service: str
    idempotency_key: str
    claim_id: str
    claimant: str
    request_id: str
    key_time: float
    digest: str = ""

    @property
    def key(self) -> ClaimKey:
        """The key that this claim reserves."""
        return ClaimKey(self.customer, self.service, self.idempotency_key)


class Abandonment(pydantic.BaseModel):
    """Says that a claim was given up before its dispatch."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    kind: typing.Literal["abandonment"] = "abandonment"
    customer: str
    service: str
    idempotency_key: str
    claim_id: str

    @property
    def key(self) -> ClaimKey:
        """The key whose claim is given up."""
        return ClaimKey(self.customer, self.service, self.idempotency_key)


class Completion(pydantic.BaseModel):
    """Keeps the answer of a claimed request for callers that come back.

    :param body: the answer's bytes, in base64 within the record.
    :param cost: what the attempt that ran used.
    """

    model_config = pydantic.ConfigDict(
        extra="forbid",
        frozen=True,
        ser_json_bytes="base64",
        val_json_bytes="base64",
    )

    kind: typing.Literal["completion"] = "completion"
    customer: str
    service: str
    idempotency_key: str
    claim_id: str
    status: int
    body: bytes
    cost: billing.AttemptCost

    @property
    def key(self) -> ClaimKey:
        """The key whose request completed."""
        return ClaimKey(self.customer, self.service, self.idempotency_key)


Entry = typing.Annotated[
    Claim | Abandonment | Completion, pydantic.Field(discriminator="kind")
]


class LedgerBatch(pydantic.BaseModel):
    """The entries that one append carries."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    entries: tuple[Entry, ...]


def encode_batch(entries: typing.Sequence[Entry]) -> bytes:
    """Return the bytes of one append.

    :param entries: the entries, in order.
    """
    return LedgerBatch(entries=tuple(entries)).model_dump_json().encode()


def decode_batch(payload: bytes) -> tuple[Entry, ...]:
    """Return the entries of one append.

    :param payload: the bytes of a record of a claims stream.
    :raises errors.WagtailstreamError: the payload is malformed.
    """
    try:
        return LedgerBatch.model_validate_json(payload).entries
    except pydantic.ValidationError as error:
        raise errors.WagtailstreamError(
            "decode", "claims stream", str(error)
        ) from error


class ClaimState(enum.Enum):
    """Where a claim stands."""

    UNSEEN = "unseen"
    WON = "won"
    LOST = "lost"
    ABANDONED = "abandoned"
    EXPIRED = "expired"


@dataclasses.dataclass(slots=True)
class _KeyState:
    key_time: float
    winner: Claim | None = None
    # Empty for most keys: frozen sets share the empty one.
    abandoned: frozenset[str] = frozenset()
    lost: frozenset[str] = frozenset()
    completion: Completion | None = None

    def knows(self, claim_id: str) -> bool:
        if self.winner is not None and self.winner.claim_id == claim_id:
            return True
        return claim_id in self.abandoned or claim_id in self.lost


class Ledger:
    """The state that the claims of one service fold into.

    :param window_seconds: how old a key may be when its claim is appended.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._keys: dict[ClaimKey, _KeyState] = {}
        self._expired: dict[str, float] = {}

    @property
    def key_count(self) -> int:
        """How many keys are remembered."""
        return len(self._keys)

    def fold(self, entry: Entry, log_time: float) -> None:
        """Take in the next entry in log order.

        :param entry: the entry.
        :param log_time: when the log took its record, Unix seconds.
        """
        match entry:
            case Claim():
                self._fold_claim(entry, log_time)
            case Abandonment():
                self._fold_abandonment(entry, log_time)
            case Completion():
                self._fold_completion(entry)

    def _fold_claim(self, claim: Claim, log_time: float) -> None:
        state = self._keys.get(claim.key)
        if claim.claim_id in self._expired:
            return
        if state is not None and state.knows(claim.claim_id):
            return
        if log_time - claim.key_time > self._window_seconds:
            self._expired[claim.claim_id] = log_time
            return
        if state is None:
            state = self._keys[claim.key] = _KeyState(claim.key_time)
        if state.winner is None:
            state.winner = claim
        else:
            state.lost |= {claim.claim_id}

    def _fold_abandonment(self, entry: Abandonment, log_time: float) -> None:
        # Also noted for a claim not seen yet, which then never counts.
        state = self._keys.setdefault(entry.key, _KeyState(log_time))
        if state.completion is not None:
            return
        state.abandoned |= {entry.claim_id}
        if state.winner and state.winner.claim_id == entry.claim_id:
            state.winner = None

    def _fold_completion(self, entry: Completion) -> None:
        state = self._keys.get(entry.key)
        if state is None or state.winner is None:
            return
        if state.winner.claim_id == entry.claim_id:
            state.completion = entry

    def find_state(self, claim: Claim) -> ClaimState:
        """Return where a claim stands in what was folded so far.

        :param claim: the claim.
        """
        if claim.claim_id in self._expired:
            return ClaimState.EXPIRED
        state = self._keys.get(claim.key)
        if state is None:
            return ClaimState.UNSEEN
        if claim.claim_id in state.abandoned:
            return ClaimState.ABANDONED
        if claim.claim_id in state.lost:
            return ClaimState.LOST
        if state.winner and state.winner.claim_id == claim.claim_id:
            return ClaimState.WON
        return ClaimState.UNSEEN

    def find_winner(self, key: ClaimKey) -> Claim | None:
        """Return the claim that holds a key, or None.

        :param key: the key.
        """
        state = self._keys.get(key)
        return state.winner if state else None

    def find_completion(self, key: ClaimKey) -> Completion | None:
        """Return the answer kept for a key, or None.

        :param key: the key.
        """
        state = self._keys.get(key)
        return state.completion if state else None

    def forget(self, now: float) -> None:
        """Drop the keys on which no claim can count any more.

        :param now: the time of the newest record folded, Unix seconds.
        """
        earliest = now - 2 * self._window_seconds
        # Both are in the order first seen, so a look at the oldest will do.
        while self._keys and _find_first(self._keys).key_time <= earliest:
            del self._keys[next(iter(self._keys))]
        while self._expired and _find_first(self._expired) <= earliest:
            del self._expired[next(iter(self._expired))]


def _find_first(items: dict[KeyT, ValueT]) -> ValueT:
    return next(iter(items.values()))
