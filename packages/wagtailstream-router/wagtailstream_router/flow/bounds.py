"""How much an instance may hold for callers and endpoints."""

import dataclasses

MEGABYTE = 1 << 20
KILOBYTE = 1 << 10
# The process bound of a machine whose memory is not known.
DEFAULT_PROCESS_BYTES = 32 * MEGABYTE
# Answers get at most this share of the process bound. The rest is for
# requests, so that callers that read nothing lead to no refusal of others.
ANSWER_SHARE = 0.5
MEMORY_SHARE = 0.2
REQUEST_BYTES = 256 * KILOBYTE
UNREAD_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class BufferPolicy:
    """What the operators choose.

    :param memory_share: the share of the machine's memory, 0 to 1, that may
        hold requests and answers.
    :param request_bytes: the most unsent bytes of a stream before its
        endpoint is read no further.
    :param unread_seconds: how long a caller may read nothing.
    """

    memory_share: float = MEMORY_SHARE
    request_bytes: int = REQUEST_BYTES
    unread_seconds: float = UNREAD_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class BufferBounds:
    """The bounds in force.

    :param process_bytes: the most bytes of requests and answers.
    :param request_bytes: the most unsent bytes of a stream before its
        endpoint is read no further.
    :param unread_seconds: how long a caller may read nothing.
    """

    process_bytes: int = DEFAULT_PROCESS_BYTES
    request_bytes: int = REQUEST_BYTES
    unread_seconds: float = UNREAD_SECONDS

    @property
    def answer_bytes(self) -> int:
        """The most bytes of answers."""
        return int(self.process_bytes * ANSWER_SHARE)


def derive_bounds(
    policy: BufferPolicy, memory_mb: float | None
) -> BufferBounds:
    """Return the bounds of a machine.

    :param memory_mb: the machine's memory in MB; None if it is not known.
    """
    process_bytes = DEFAULT_PROCESS_BYTES
    if memory_mb is not None:
        process_bytes = int(memory_mb * MEGABYTE * policy.memory_share)
    return BufferBounds(
        process_bytes, policy.request_bytes, policy.unread_seconds
    )
