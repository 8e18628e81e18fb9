"""The fold of claims, which makes a non-idempotent request run at most once.

Before an agent dispatches such a request, it appends a claim on the request's
idempotency key. The first claim in log order wins. Another claim can win only
after the winner was abandoned before its dispatch. A claim on a key that is
older than the window never wins, so old keys can be dropped.
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
    """Identifies a request that may run at most once."""

    customer: str
    service: str
    idempotency_key: str


class Claim(pydantic.BaseModel):
    """Claims for one agent the right to run a request.

    :param claim_id: unique to the claim; a repeated append has the same one.
    :param claimant: the address of the agent that would run the request.
    :param key_time: the Unix time in the idempotency key, in seconds.
    :param digest: the digest of the call that the key was sent with; a call
        that reuses the key and has another digest is refused.
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
    """Abandons a claim whose request was not dispatched."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    kind: typing.Literal["abandonment"] = "abandonment"
    customer: str
    service: str
    idempotency_key: str
    claim_id: str

    @property
    def key(self) -> ClaimKey:
        """The key whose claim is abandoned."""
        return ClaimKey(self.customer, self.service, self.idempotency_key)


class Completion(pydantic.BaseModel):
    """Stores the answer to a claimed request for callers that repeat it.

    :param status: the HTTP status of the answer.
    :param body: the answer's bytes, which the record holds in base64.
    :param cost: the cost of the attempt that ran.
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
    """The entries of one record of a claims stream."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    entries: tuple[Entry, ...]


def encode_batch(entries: typing.Sequence[Entry]) -> bytes:
    """Return the payload of a record of a claims stream.

    :param entries: the entries, in order.
    """
    return LedgerBatch(entries=tuple(entries)).model_dump_json().encode()


def decode_batch(payload: bytes) -> tuple[Entry, ...]:
    """Return the entries of a record of a claims stream.

    :param payload: the record's bytes.
    :raises errors.WagtailstreamError: the payload is malformed.
    """
    try:
        return LedgerBatch.model_validate_json(payload).entries
    except pydantic.ValidationError as error:
        raise errors.WagtailstreamError(
            "decode", "claims stream", str(error)
        ) from error


class ClaimState(enum.Enum):
    """What the fold has decided about a claim.

    An unseen claim has not been folded yet. An expired one was appended when
    its key was older than the window.
    """

    UNSEEN = "unseen"
    WON = "won"
    LOST = "lost"
    ABANDONED = "abandoned"
    EXPIRED = "expired"


@dataclasses.dataclass(slots=True)
class _KeyState:
    key_time: float
    winner: Claim | None = None
    # Empty for most keys. The empty frozenset is a single shared object, so
    # these take no memory per key.
    abandoned: frozenset[str] = frozenset()
    lost: frozenset[str] = frozenset()
    completion: Completion | None = None

    def has_seen(self, claim_id: str) -> bool:
        if self.winner is not None and self.winner.claim_id == claim_id:
            return True
        return claim_id in self.abandoned or claim_id in self.lost


class Ledger:
    """The state of all claims on one service.

    :param window_seconds: the maximum age of a key when a claim on it is
        appended.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._keys: dict[ClaimKey, _KeyState] = {}
        self._expired: dict[str, float] = {}

    @property
    def key_count(self) -> int:
        """The number of keys that are kept."""
        return len(self._keys)

    def fold(self, entry: Entry, log_time: float) -> None:
        """Apply the next entry in log order.

        :param entry: the entry.
        :param log_time: when the log accepted its record, Unix time in
            seconds.
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
        if state is not None and state.has_seen(claim.claim_id):
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
        # If the claim comes later in the log, it can't win any more.
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
        """Return the state of a claim after the entries folded so far.

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
        """Return the winning claim on a key, or None.

        :param key: the key.
        """
        state = self._keys.get(key)
        return state.winner if state else None

    def find_completion(self, key: ClaimKey) -> Completion | None:
        """Return the stored answer for a key, or None.

        :param key: the key.
        """
        state = self._keys.get(key)
        return state.completion if state else None

    def forget(self, now: float) -> None:
        """Drop keys and expired claims that are older than two windows.

        A claim can win until its key is one window old. It is then kept for
        at least one window more.

        :param now: the time of the last folded record, Unix time in seconds.
        """
        earliest = now - 2 * self._window_seconds
        # Both dicts are in the order of the log, so each loop stops at the
        # first item that is recent enough.
        while self._keys and _first_value(self._keys).key_time <= earliest:
            del self._keys[next(iter(self._keys))]
        while self._expired and _first_value(self._expired) <= earliest:
            del self._expired[next(iter(self._expired))]


def _first_value(items: dict[KeyT, ValueT]) -> ValueT:
    return next(iter(items.values()))
