"""Prompt prefix cache of the engine stand-in, with delayed events."""

import collections
import dataclasses
import time

import xxhash

BLOCK_CHARACTERS = 64
CACHE_BLOCKS = 1024
CHARACTERS_PER_TOKEN = 4
MAX_EVENTS = 10_000


@dataclasses.dataclass
class CacheEvent:
    """Event for a block that was stored or evicted.

    :param op: ``stored`` or ``evicted``.
    :param block: the block's hash.
    :param time: monotonic seconds.
    """

    seq: int
    op: str
    block: str
    time: float


class PrefixCache:
    """LRU cache of the full blocks of prompts."""

    def __init__(self, capacity_blocks: int = CACHE_BLOCKS) -> None:
        self._capacity_blocks = capacity_blocks
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self._next_seq = 0

    def use(self, model: str, version: str, prompt: str) -> int:
        """Store the blocks of a prompt.

        :returns: tokens in the leading blocks that were already cached.
        """
        cached_blocks = 0
        blocks = hash_prefix_blocks(model, version, prompt)
        for index, block in enumerate(blocks):
            if block in self._blocks:
                cached_blocks += cached_blocks == index
                self._blocks.move_to_end(block)
            else:
                self._store(block)
        return cached_blocks * BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN

    def read_events(
        self, start: int, lag_seconds: float, gap: float
    ) -> tuple[list[CacheEvent], int]:
        """Return published events and the next sequence number.

        :param start: the first wanted sequence number.
        :param lag_seconds: minimum age of a published event.
        :param gap: share of the events that are lost, from 0 to 1.
        """
        newest = time.monotonic() - lag_seconds
        visible = [event for event in self._events if event.time <= newest]
        next_seq = visible[-1].seq + 1 if visible else 0
        kept = [
            e for e in visible if e.seq >= start and not _is_dropped(e, gap)
        ]
        return kept, next_seq

    def _store(self, block: str) -> None:
        self._blocks[block] = None
        self._publish("stored", block)
        if len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish("evicted", evicted)

    def _publish(self, op: str, block: str) -> None:
        event = CacheEvent(self._next_seq, op, block, time.monotonic())
        self._events.append(event)
        self._next_seq += 1


def hash_prefix_blocks(model: str, version: str, prompt: str) -> list[str]:
    """Return the hashes of the full blocks of a prompt, in order.

    Each hash covers the prompt from its start to the end of the block, and
    the model version.
    """
    state = xxhash.xxh64(f"{model}@{version}\0".encode())
    block_hashes = []
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        state.update(prompt[end - BLOCK_CHARACTERS : end].encode())
        block_hashes.append(state.hexdigest())
    return block_hashes


def count_tokens(prompt: str) -> int:
    """Return the token count of a prompt, rounded up."""
    return -(-len(prompt) // CHARACTERS_PER_TOKEN)


def _is_dropped(event: CacheEvent, gap: float) -> bool:
    digest = xxhash.xxh64_intdigest(str(event.seq).encode())
    return digest / 2**64 < gap
