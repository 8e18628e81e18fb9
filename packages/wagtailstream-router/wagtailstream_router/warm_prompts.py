"""Tracks which prompt parts each model server probably has in its cache."""

import collections.abc
import time

import xxhash

from wagtailstream_router import request

# How long a part is assumed to stay cached after its last use. At the request
# rates of the users' specification, a server replaces its whole cache in about
# twice that time.
CACHED_SECONDS = 12.0
# Upper bound on the entries that wait for the next gossip message.
MAX_UNSENT = 200


class CachedParts:
    """Which engines probably have the parts of one prompt, for one model.

    :param parts: for each part in order, its length in tokens and until when
        each endpoint is assumed to have it.
    """

    def __init__(
        self, parts: list[tuple[int, dict[str, float]]], shared_count: int
    ) -> None:
        self._parts = parts
        self._shared_count = shared_count
        self._now = time.monotonic()

    def cached_tokens(self, endpoint: str) -> int:
        """Return how many leading tokens an endpoint probably has cached."""
        cached_tokens = 0
        for tokens, deadlines in self._parts:
            if deadlines.get(endpoint, 0.0) < self._now:
                break
            cached_tokens += tokens
        return cached_tokens

    @property
    def holders(self) -> list[str]:
        """The endpoints with the last shared part, the last sent to first."""
        if not self._shared_count:
            return []
        _, deadlines = self._parts[self._shared_count - 1]
        return [
            endpoint
            for endpoint, deadline in reversed(deadlines.items())
            if deadline >= self._now
        ]


class WarmPrompts:
    """The prompt parts that this process and its peers sent to each endpoint.

    Parts are stored as hashes of the model's name and the part's id.
    """

    def __init__(self) -> None:
        # By part, then by endpoint; the part sent last is the last endpoint.
        self._deadlines: dict[int, dict[str, float]] = {}
        self._unsent: list[tuple[str, int]] = []

    def record(self, endpoint: str, model: str, call: request.Request) -> None:
        """Record that a prompt was sent to an endpoint."""
        for part in call.parts:
            part_hash = _hash_part(model, part.identity)
            self._extend_deadline(endpoint, part_hash)
            if len(self._unsent) < MAX_UNSENT:
                self._unsent.append((endpoint, part_hash))

    def drain_unsent(self) -> list[tuple[str, int]]:
        """Return the entries not yet sent to peers, and clear them.

        :returns: pairs of an endpoint's id and the hash of a prompt part.
        """
        unsent = self._unsent
        self._unsent = []
        return unsent

    def add_peer_entries(
        self, entries: collections.abc.Iterable[tuple[str, int]]
    ) -> None:
        """Record prompt parts that a peer sent to endpoints.

        :param entries: pairs of an endpoint's id and the hash of a prompt
            part.
        """
        for endpoint, part_hash in entries:
            self._extend_deadline(endpoint, part_hash)

    def find(self, model: str, call: request.Request) -> CachedParts:
        """Return where the parts of a prompt are probably cached."""
        return CachedParts(
            [
                (
                    part.tokens,
                    self._deadlines.get(_hash_part(model, part.identity), {}),
                )
                for part in call.parts
            ],
            len(call.shared_parts),
        )

    def cached_tokens(
        self, endpoint: str, model: str, call: request.Request
    ) -> int:
        """Return how many leading tokens of a prompt are probably cached."""
        return self.find(model, call).cached_tokens(endpoint)

    def list_cached(
        self, endpoint: str, model: str, call: request.Request
    ) -> frozenset[str]:
        """Return the leading shared parts that are probably cached.

        :returns: the model's name and the part's id, joined by `|`.
        """
        now = time.monotonic()
        cached = []
        for part in call.shared_parts:
            deadlines = self._deadlines.get(
                _hash_part(model, part.identity), {}
            )
            if deadlines.get(endpoint, 0.0) < now:
                break
            cached.append(f"{model}|{part.identity}")
        return frozenset(cached)

    def prune(self, endpoints: collections.abc.Container[str]) -> None:
        """Remove endpoints that are gone and parts that expired.

        :param endpoints: the ids of the endpoints in the directory.
        """
        now = time.monotonic()
        for part_hash, deadlines in list(self._deadlines.items()):
            kept = {
                endpoint: deadline
                for endpoint, deadline in deadlines.items()
                if deadline > now and endpoint in endpoints
            }
            if kept:
                self._deadlines[part_hash] = kept
            else:
                del self._deadlines[part_hash]

    def _extend_deadline(self, endpoint: str, part_hash: int) -> None:
        deadlines = self._deadlines.setdefault(part_hash, {})
        deadlines.pop(endpoint, None)
        deadlines[endpoint] = time.monotonic() + CACHED_SECONDS


def _hash_part(model: str, part: str) -> int:
    return xxhash.xxh32_intdigest(f"{model}|{part}".encode())
