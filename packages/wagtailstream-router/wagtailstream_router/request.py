"""Decoded requests and answer heads, independent of the wire format."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt.

    :param identity: a hash of the content; equal parts have the same one.
    :param tokens: the length in tokens.
    """

    identity: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request, decoded from HTTP.

    :param identity: the caller's id of this request; "" if it sent none.
    :param target: the path with its query, as the caller sent it.
    :param host: the request's host, without a port.
    :param headers: name and value of all headers that may be passed on.
    :param arrived: when the head was read, by the monotonic clock.
    :param deadline: when the caller stops waiting, by the monotonic clock;
        None if it sent none.
    :param credential: the caller's key; "" if it sent none.
    :param parts: the prompt's parts in order; the last is the request's own.
    :param prompt_tokens: the prompt's length in tokens.
    :param max_output_tokens: the most tokens that may be generated.
    :param expected_output_tokens: the caller's estimate; 0 if it sent none.
    :param last_event: the id of the last event that the caller received; None
        if it asks for the whole stream.
    :param model: the model that the caller names; "" if none.
    :param session: the id that the requests of a session share; "" if none.
    """

    identity: str
    method: str
    target: str
    path: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived: float
    deadline: float | None
    credential: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    last_event: str | None
    model: str
    session: str

    @property
    def own_tokens(self) -> int:
        """The length in tokens of the last part, the request's own."""
        return self.parts[-1].tokens if self.parts else self.prompt_tokens

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that requests may share: all but the last."""
        return self.parts[:-1]

    @property
    def shared_part(self) -> str:
        """The id of the last part that requests may share; "" if none."""
        return self.shared_parts[-1].identity if self.shared_parts else ""


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """What the router adds to the caller's request in one attempt.

    :param endpoint: the id of the endpoint that the request is meant for.
    :param remaining_ms: the time left until the deadline.
    :param tenant: the name of the caller's tenant; "" if it has none.
    :param priority: the priority at the endpoint, 0 to 9; None to omit it.
    :param model: the model chosen by the router; "" to keep the caller's.
    :param last_event: the id of the last event that the caller received; None
        for the whole stream.
    """

    endpoint: str
    remaining_ms: float
    tenant: str
    priority: int | None
    model: str
    last_event: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """The limit that an endpoint advertises in an answer.

    :param per_second: the requests a second that it takes from all instances
        together; None if it advertises none.
    :param is_malformed: whether it advertises one that is no rate.
    """

    per_second: float | None = None
    is_malformed: bool = False


class Leaving(enum.Enum):
    """Whether an endpoint states in an answer that it leaves."""

    NOT_STATED = "not_stated"
    STATED = "stated"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfter:
    """The time for which an endpoint wants no requests from an instance.

    :param seconds: the time from the answer on; None if there is none.
    :param is_malformed: whether there is one that is no time.
    """

    seconds: float | None = None
    is_malformed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an endpoint's answer, decoded from HTTP.

    :param headers: the headers that may be passed on.
    :param request_identity: the request id that the endpoint echoes; "" if
        none.
    :param is_signed: whether it has a signature header of the endpoint.
    :param is_not_run: whether the endpoint states that the request didn't run.
    :param confidence: the model's confidence in its answer, 0 to 100; None if
        the endpoint sent none.
    :param idle_seconds: how long the endpoint keeps an idle connection; None
        if the endpoint sent none.
    :param is_encoded: whether the body has a content encoding.
    :param rate_limit: the limit that the endpoint advertises.
    :param leaving: whether the endpoint states that it leaves.
    :param retry_after: for how long the endpoint wants no requests.
    :param endpoint: the id of the endpoint that answers; "" if it sent none.
    :param cold_ms: how long the endpoint stays cold; None if it did not say.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    request_identity: str
    is_signed: bool
    is_not_run: bool
    confidence: float | None
    idle_seconds: float | None
    is_encoded: bool
    rate_limit: RateLimit = RateLimit()
    leaving: Leaving = Leaving.NOT_STATED
    retry_after: RetryAfter = RetryAfter()
    endpoint: str = ""
    cold_ms: float | None = None

    @property
    def is_success(self) -> bool:
        """Whether the status is in 200 to 299."""
        return 200 <= self.status < 300
