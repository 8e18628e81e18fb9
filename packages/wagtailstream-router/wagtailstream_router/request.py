"""Requests of callers, as the router's filters see them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt.

    :param identity: names the part's content.
    :param tokens: its length.
    """

    identity: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request, decoded at the border.

    :param identity: the caller's id of this try; "" if it sent none.
    :param target: the path with its query, as the caller sent it.
    :param headers: name and value of all headers that may be passed on.
    :param deadline: when the caller stops waiting, by the monotonic clock;
        None if it did not say.
    :param credential: the caller's key; "" if it sent none.
    :param parts: the prompt's parts in order; the last is the request's own.
    :param prompt_tokens: the prompt's length.
    :param max_output_tokens: the most tokens that may be generated.
    :param expected_output_tokens: the caller's guess, 0 if it gave none.
    :param last_event: the id of the last event that the caller holds; None
        if it asks for the whole stream.
    :param model: the model that the caller names; "" if none.
    :param session: names the requests that belong together; "" if none.
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
        """The length of the last part, which no other request has."""
        return self.parts[-1].tokens if self.parts else self.prompt_tokens

    @property
    def shared_part(self) -> str:
        """The last part that other requests may share; "" if none."""
        return self.parts[-2].identity if len(self.parts) > 1 else ""


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """What one attempt tells the endpoint, beside the caller's bytes.

    :param remaining_ms: how long the endpoint may work.
    :param tenant: the name of the caller's tenant; "" if it has none.
    :param priority: the rank at the endpoint, 0 to 9; None to leave it out.
    :param model: the model that the router picked; "" to leave the caller's.
    :param last_event: the id of the last event that the caller holds.
    """

    instance: str
    remaining_ms: float
    tenant: str
    priority: int | None
    model: str
    last_event: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an endpoint's answer, decoded at the border.

    :param headers: the headers that may be passed on.
    :param request_identity: the id that the endpoint echoes; "" if none.
    :param is_signed: whether it bears the endpoint's signature.
    :param is_not_run: whether the endpoint says that nothing ran.
    :param confidence: the model's opinion of its answer, 0 to 100.
    :param idle_seconds: how long the endpoint keeps an idle connection;
        None if it did not say.
    :param is_encoded: whether the body is not the endpoint's plain bytes.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    request_identity: str
    is_signed: bool
    is_not_run: bool
    confidence: float | None
    idle_seconds: float | None
    is_encoded: bool

    @property
    def is_success(self) -> bool:
        """Whether the status is one of success."""
        return 200 <= self.status < 300
