"""One request on its way through the pipeline, and where its answer goes."""

import abc
import dataclasses

from wagtailstream_core import (
    billing,
    bundle,
    configuration,
    errors,
    session,
    work,
)
from wagtailstream_entry.endpoints import connection

OptionalSession = session.Session | None


@dataclasses.dataclass(frozen=True)
class Origin:
    """What an answer says of where it was made."""

    model: str = ""
    version: str = ""
    endpoint: str = ""


class AnswerSink(abc.ABC):
    """Takes an answer's pieces, in order, each once."""

    @abc.abstractmethod
    async def start(self, exchange: "Exchange") -> None:
        """Prepare for the first piece; the origin is known.

        :param exchange: the request.
        """

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Take a piece of the answer.

        :param data: the piece.
        """


class BufferSink(AnswerSink):
    """Gathers an answer in memory."""

    def __init__(self) -> None:
        self._pieces: list[bytes] = []

    @property
    def content(self) -> bytes:
        """All pieces so far."""
        return b"".join(self._pieces)

    async def start(self, exchange: "Exchange") -> None:
        """Do nothing.

        :param exchange: the request.
        """

    async def write(self, data: bytes) -> None:
        """Take a piece of the answer.

        :param data: the piece.
        """
        self._pieces.append(data)


@dataclasses.dataclass
class Exchange:
    """A request's state; each filter fills in its part.

    :param authorization: the Authorization header.
    :param session_token: the Wagtail-Session header.
    :param deadline_text: the Wagtail-Deadline header.
    :param deadline: Unix time in seconds.
    :param candidates: the models to try, cheapest first.
    :param sink: where the answer goes.
    :param is_on_ladder: whether its answers teach a ladder.
    :param is_rated_on_path: whether a ladder's step rates the answer.
    :param costs: the cost of each attempt so far.
    :param runs: attempts whose agents wait for the bill.
    :param unresolved: how many attempts are not known not to have run.
    """

    request_id: str
    authorization: str
    session_token: str
    deadline_text: str
    idempotency_key: str
    received_at: float
    body: bytes
    sink: AnswerSink
    configuration: configuration.Configuration
    is_stream: bool = False
    task: str = ""
    requested_model: str = ""
    prompt: str = ""
    max_tokens: int = 0
    operation: work.ServiceWork | None = None
    customer: bundle.Customer | None = None
    session: OptionalSession = None
    session_id: str = ""
    deadline: float = 0.0
    origin: Origin = Origin()
    status: int = 200
    is_on_ladder: bool = False
    is_rated_on_path: bool = False
    costs: list[billing.AttemptCost] = dataclasses.field(default_factory=list)
    attempt_count: int = 0
    first_token_at: float | None = None
    runs: list[connection.Run] = dataclasses.field(default_factory=list)
    unresolved: int = 0

    @property
    def answer_tokens(self) -> int:
        """Tokens of all attempts so far."""
        return sum(cost.answer_tokens for cost in self.costs)

    def finish_refusal(self, refusal: errors.Refusal) -> errors.Refusal:
        """Return the final refusal: never "not run" if an attempt may have.

        :param refusal: why the request is given up.
        """
        if self.unresolved == 0:
            return refusal
        return dataclasses.replace(refusal, outcome=errors.Outcome.UNKNOWN)

    def next_attempt(self) -> int:
        """Return the number of a new attempt."""
        number = self.attempt_count
        self.attempt_count += 1
        return number
