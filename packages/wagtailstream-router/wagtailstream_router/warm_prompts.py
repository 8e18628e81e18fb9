"""Which parts of prompts the model servers are likely to keep."""

import collections.abc
import time

import xxhash

from wagtailstream_router import request

# How long a part is taken to be kept after its last use: a server's memory
# turns over in about twice that at the sheets' rates.
KEPT_SECONDS = 12.0
# The most notes that wait for the next message to peers.
MAX_UNSENT = 200


class WarmPrompts:
    """Remembers what was sent where, by this process and its peers."""

    def __init__(self) -> None:
        self._deadlines: dict[str, dict[int, float]] = {}
        self._unsent: list[tuple[str, int]] = []

    def note(self, endpoint: str, model: str, call: request.Request) -> None:
        """Note that an endpoint reads a prompt."""
        for part in call.parts:
            part_hash = _hash_part(model, part.identity)
            self._extend_deadline(endpoint, part_hash)
            if len(self._unsent) < MAX_UNSENT:
                self._unsent.append((endpoint, part_hash))

    def drain_unsent(self) -> list[tuple[str, int]]:
        """Return what peers were not yet told, and forget it."""
        unsent = self._unsent
        self._unsent = []
        return unsent

    def add_peer_notes(
        self, notes: collections.abc.Iterable[tuple[str, int]]
    ) -> None:
        """Take what a peer sent where."""
        for endpoint, part_hash in notes:
            self._extend_deadline(endpoint, part_hash)

    def kept_tokens(
        self, endpoint: str, model: str, call: request.Request
    ) -> int:
        """Return how many first tokens of a prompt an endpoint may keep."""
        deadlines = self._deadlines.get(endpoint)
        if not deadlines:
            return 0
        now = time.monotonic()
        kept = 0
        for part in call.parts:
            if deadlines.get(_hash_part(model, part.identity), 0.0) < now:
                break
            kept += part.tokens
        return kept

    def prune(self, endpoints: collections.abc.Container[str]) -> None:
        """Forget endpoints that are gone, and parts not used for long."""
        now = time.monotonic()
        for endpoint in list(self._deadlines):
            if endpoint not in endpoints:
                del self._deadlines[endpoint]
                continue
            self._deadlines[endpoint] = {
                part_hash: deadline
                for part_hash, deadline in self._deadlines[endpoint].items()
                if deadline > now
            }

    def _extend_deadline(self, endpoint: str, part_hash: int) -> None:
        self._deadlines.setdefault(endpoint, {})[part_hash] = (
            time.monotonic() + KEPT_SECONDS
        )


def _hash_part(model: str, part: str) -> int:
    return xxhash.xxh32_intdigest(f"{model}|{part}".encode())
