"""The state of a request in the pipeline, and the sinks of its answer."""

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
    """The model, version and endpoint that made an answer.

    The caller gets them as response headers.
    """

    model: str = ""
    version: str = ""
    endpoint: str = ""


class AnswerSink(abc.ABC):
    """Receives the pieces of an answer, each once and in order."""

    @abc.abstractmethod
    async def start(self, request: "Exchange") -> None:
        """Prepare for the first piece.

        The origin of the answer is set by then.

        :param request: the request.
        """

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Receive a piece of the answer.

        :param data: the piece.
        """


class BufferSink(AnswerSink):
    """Collects an answer in memory."""

    def __init__(self) -> None:
        self._pieces: list[bytes] = []

    @property
    def content(self) -> bytes:
        """All pieces so far."""
        return b"".join(self._pieces)

    async def start(self, request: "Exchange") -> None:
        """Do nothing.

        :param request: the request.
        """

    async def write(self, data: bytes) -> None:
        """Append a piece of the answer.

        :param data: the piece.
        """
        self._pieces.append(data)


@dataclasses.dataclass
class Exchange:
    """The state of a request, which the filters fill in one after another.

    :param authorization: the Authorization header.
    :param session_token: the Wagtail-Session header.
    :param deadline_text: the Wagtail-Deadline header.
    :param received_at: Unix time in seconds.
    :param deadline: Unix time in seconds.
    :param sink: receives the answer.
    :param is_on_ladder: whether the request runs on a ladder, which is
        planned from the ratings of its answers.
    :param is_rated_before_delivery: whether the ladder rates the current
        model's answer before it is delivered.
    :param costs: the costs that agents reported for the attempts so far.
    :param first_token_at: when the first piece was delivered, as Unix time
        in seconds.
    :param runs: the completed attempts whose agents wait for the bill.
    :param unresolved_attempts: the number of attempts that may have run.
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
    is_rated_before_delivery: bool = False
    costs: list[billing.AttemptCost] = dataclasses.field(default_factory=list)
    attempt_count: int = 0
    first_token_at: float | None = None
    runs: list[connection.Run] = dataclasses.field(default_factory=list)
    unresolved_attempts: int = 0

    @property
    def answer_tokens(self) -> int:
        """The number of answer tokens of all attempts so far."""
        return sum(cost.answer_tokens for cost in self.costs)

    def finish_refusal(self, refusal: errors.Refusal) -> errors.Refusal:
        """Return the refusal for the caller.

        Its outcome is unknown if any attempt may have run.

        :param refusal: the refusal of the last attempt or filter.
        """
        if self.unresolved_attempts == 0:
            return refusal
        return dataclasses.replace(refusal, outcome=errors.Outcome.UNKNOWN)

    def next_attempt(self) -> int:
        """Return the number for a new attempt, counted from 0."""
        number = self.attempt_count
        self.attempt_count += 1
        return number
