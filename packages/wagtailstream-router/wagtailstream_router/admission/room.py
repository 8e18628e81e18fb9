"""What an endpoint holds, and whether it has room for one more request."""

import collections
import collections.abc
import dataclasses
import math
import random
import time

from wagtailstream_router import request

# The output is reserved as this multiple of the caller's estimate, at most the
# maximum that it states: estimates hold at the median only.
OUTPUT_FACTOR = 2.0
# While nobody waits, any instance may send to an endpoint up to this part of
# its capacity: what arrives within one report does not fill the rest. Beyond
# it, and while others wait, an instance takes its part of what is free.
OPEN_SHARE = 0.5
# The time for which an instance takes its part of what is free once: the
# shortest interval of reports between instances.
INTERVAL_SECONDS = 0.2
# The shared parts of an endpoint whose first sender is remembered.
MAX_KNOWN_PARTS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What a request takes at an endpoint.

    :param tokens: of its own: the prompt's last part and the output.
    :param shared: the shared parts of its prompt, by model and id, with their
        length in tokens.
    :param work_ms: the time to prefill its prompt.
    :param model: the model that it asks for; "" for a plain service.
    """

    tokens: int = 0
    shared: tuple[tuple[str, int], ...] = ()
    work_ms: float = 0.0
    model: str = ""

    @property
    def all_tokens(self) -> int:
        """The tokens with all shared parts."""
        return self.tokens + sum(tokens for _, tokens in self.shared)


def estimate_need(
    call: request.Request, model: str, work_ms: float = 0.0
) -> Need:
    """Return what a request takes at a model server.

    :param model: the model that it asks for.
    :param work_ms: the time to prefill its prompt.
    """
    output = call.max_output_tokens
    if call.expected_output_tokens:
        bound = math.ceil(OUTPUT_FACTOR * call.expected_output_tokens)
        output = min(output, bound) if output else bound
    shared = tuple(
        (f"{model}|{part.identity}", part.tokens) for part in call.shared_parts
    )
    return Need(call.own_tokens + output, shared, work_ms, model)


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """How much an endpoint may be given.

    :param places: the requests that it may have.
    :param tokens: the tokens that they may hold; infinite for plain services.
    :param queue_ms: the queue of prompts from which it gets no more; infinite
        to ignore the queue.
    """

    places: int
    tokens: float = math.inf
    queue_ms: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """An instance's part of the room that others want, too.

    :param share: of what is free, 0 to 1.
    :param is_contended: whether others are known to wait; if not, the part
        matters only where room is scarce.
    """

    share: float = 1.0
    is_contended: bool = False


WHOLE = Part()


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What an endpoint has, of all instances, as this one knows it.

    :param requests: the requests in flight.
    :param queue_ms: the estimated time to prefill their prompts.
    """

    requests: int
    queue_ms: float = 0.0


class EngineRoom:
    """What an endpoint holds: this instance's sends and its peers' reports.

    The load that it answers: many instances see the same room at once and
    send there until the endpoint's memory is over.

    :param generator: draws this instance's part of scarce room.
    :param clock: the monotonic clock.

    `interval_seconds` is the time for which a part of what is free is taken
    once; it is set to the interval of peers' reports.
    """

    def __init__(
        self,
        generator: random.Random | None = None,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.peer_requests = 0
        self.peer_queue_ms = 0.0
        self.peer_tokens = 0
        self.interval_seconds = INTERVAL_SECONDS
        self._random = generator or random.Random()
        self._clock = clock
        self._held: dict[int, Need] = {}
        # Shared parts of running requests: how many hold each.
        self._counts: collections.Counter[str] = collections.Counter()
        # Whether this instance sent a part there before any peer.
        self._is_first: collections.OrderedDict[str, bool] = (
            collections.OrderedDict()
        )
        self._next = 0
        self._own_tokens = 0
        self._reported_tokens = 0
        self._claims: dict[int, float] = {}
        self._taken = 0
        self._draw = 0.0
        self._draw_again_at = -math.inf

    @property
    def tokens(self) -> int:
        """The tokens that the endpoint holds, as far as this one knows."""
        return self._own_tokens + self.peer_tokens

    @property
    def reported_tokens(self) -> int:
        """The tokens of this instance's requests, for its peers.

        Shared parts that a peer sent there first are left out.
        """
        return self._reported_tokens

    @property
    def held(self) -> int:
        """The number of reservations, claims included."""
        return len(self._held)

    def reserve(
        self,
        need: Need,
        known_parts: collections.abc.Container[str] = (),
        is_claim: bool = False,
    ) -> int:
        """Reserve room for a request and return the ticket for `release`.

        :param known_parts: shared parts that a peer has sent there.
        :param is_claim: whether the request is not in flight yet, and neither
            in the endpoint's load nor in its queue.
        """
        self._next += 1
        self._held[self._next] = need
        self._own_tokens += need.tokens
        self._reported_tokens += need.tokens
        for part, tokens in need.shared:
            if part not in self._is_first:
                self._is_first[part] = part not in known_parts
            self._is_first.move_to_end(part)
            if not self._counts[part]:
                self._own_tokens += tokens
                self._reported_tokens += tokens * self._is_first[part]
            self._counts[part] += 1
        self._forget_parts()
        if is_claim:
            self._claims[self._next] = need.work_ms
        self._taken += 1
        return self._next

    def release(self, ticket: int) -> None:
        """Release a reservation; does nothing if it was released before."""
        need = self._held.pop(ticket, None)
        if need is None:
            return
        self._claims.pop(ticket, None)
        self._own_tokens -= need.tokens
        self._reported_tokens -= need.tokens
        for part, tokens in need.shared:
            self._counts[part] -= 1
            if not self._counts[part]:
                del self._counts[part]
                self._own_tokens -= tokens
                self._reported_tokens -= tokens * self._is_first[part]
        # Room that this instance leaves is known to no other yet.
        self._begin_interval()
        self._taken -= 1

    def count_missing(self, need: Need) -> int:
        """Return the tokens that a request adds to what is held."""
        return need.tokens + sum(
            tokens for part, tokens in need.shared if not self._counts[part]
        )

    def has_room(self, need: Need, capacity: Capacity, load: Load) -> bool:
        """Return whether the endpoint has room, whoever may take it."""
        free = self._find_free(capacity, load)
        return (
            free.places >= 1
            and free.tokens >= self.count_missing(need)
            and free.queue_ms > 0.0
        )

    def may_take(
        self,
        need: Need,
        capacity: Capacity,
        load: Load,
        part: Part,
    ) -> bool:
        """Return whether this instance may send a request there.

        :param part: its part of the room.
        """
        if not self.has_room(need, capacity, load):
            return False
        free = self._find_free(capacity, load)
        if part.share >= 1.0 or not (
            part.is_contended or _is_scarce(free, capacity)
        ):
            return True
        self._begin_interval()
        missing = max(1, self.count_missing(need))
        requests = min(
            float(free.places),
            free.tokens / missing,
            free.queue_ms / max(1.0, need.work_ms),
        )
        drawn = part.share * (requests + self._taken) + self._draw
        return drawn >= self._taken + 1

    def _find_free(self, capacity: Capacity, load: Load) -> Capacity:
        return Capacity(
            capacity.places - load.requests - len(self._claims),
            capacity.tokens - self.tokens,
            capacity.queue_ms - load.queue_ms - sum(self._claims.values()),
        )

    def _begin_interval(self) -> None:
        """Draw anew what part of scarce room is this instance's, if due."""
        now = self._clock()
        if now < self._draw_again_at:
            return
        self._draw_again_at = now + self.interval_seconds
        self._draw = self._random.random()
        self._taken = 0

    def _forget_parts(self) -> None:
        """Forget who sent the parts first that were used longest ago."""
        excess = len(self._is_first) - MAX_KNOWN_PARTS
        if excess <= 0:
            return
        unused = [part for part in self._is_first if not self._counts[part]]
        for part in unused[:excess]:
            del self._is_first[part]


def _is_scarce(free: Capacity, capacity: Capacity) -> bool:
    """Return whether less than half of any part of the room is free."""
    kept = 1.0 - OPEN_SHARE
    return (
        free.places < kept * capacity.places
        or (
            capacity.tokens < math.inf and free.tokens < kept * capacity.tokens
        )
        or (
            capacity.queue_ms < math.inf
            and free.queue_ms < kept * capacity.queue_ms
        )
    )
