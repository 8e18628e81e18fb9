"""Parses the body of a chat completion."""

import typing

import expression
import pydantic

from wagtailstream_core import errors
from wagtailstream_entry.filters import exchange, pipeline

STEP = "parse"
# Used if the caller sets no limit, and as the bound without a bundle.
DEFAULT_MAX_TOKENS = 256


class _Part(pydantic.BaseModel):
    type: str
    text: str = ""


class _Message(pydantic.BaseModel):
    role: typing.Literal["system", "developer", "user", "assistant", "tool"]
    content: str | list[_Part] | None = None

    @property
    def text(self) -> str:
        """The text of the message, with its parts joined."""
        if isinstance(self.content, list):
            return "".join(part.text for part in self.content)
        return self.content or ""


class _Metadata(pydantic.BaseModel):
    task: str = pydantic.Field(default="", max_length=64)


class ChatBody(pydantic.BaseModel):
    """The fields of a chat completion's body that this entry uses."""

    model: str = pydantic.Field(min_length=1, max_length=64)
    messages: list[_Message] = pydantic.Field(min_length=1)
    stream: bool = False
    max_tokens: int | None = pydantic.Field(default=None, ge=1)
    max_completion_tokens: int | None = pydantic.Field(default=None, ge=1)
    metadata: _Metadata | None = None

    @property
    def prompt(self) -> str:
        """All messages as one prompt, a line for each."""
        return "\n".join(f"{m.role}: {m.text}" for m in self.messages)


class ParseChat(pipeline.Filter):
    """Validates the body and fills in the prompt.

    :param peer: this instance's name, for refusals.
    """

    def __init__(self, peer: str) -> None:
        self._peer = peer

    async def process(self, request: exchange.Exchange) -> pipeline.Verdict:
        """Set the request's model, prompt, task, streaming and token limit.

        :param request: the request.
        """
        try:
            body = ChatBody.model_validate_json(request.body)
        except pydantic.ValidationError as error:
            first = error.errors()[0]
            where = ".".join(str(part) for part in first["loc"]) or "body"
            return expression.Error(
                errors.not_run(
                    errors.Reason.MALFORMED,
                    f"{where}: {first['msg']}",
                    STEP,
                    self._peer,
                )
            )
        current_bundle = request.configuration.bundle
        requested_tokens = body.max_completion_tokens or body.max_tokens
        token_limit = (
            current_bundle.limits.max_tokens
            if current_bundle
            else DEFAULT_MAX_TOKENS
        )
        request.requested_model = body.model
        request.prompt = body.prompt
        request.is_stream = body.stream
        request.max_tokens = min(
            requested_tokens or DEFAULT_MAX_TOKENS, token_limit
        )
        request.task = body.metadata.task if body.metadata else ""
        return pipeline.PASSED
