"""Targets of the load generator: an entry's chat API or an engine."""

import abc
import time

import orjson
from tornado import httpclient

_OK = 200


class Progress:
    """Counts the tokens of a streamed answer and detects its end.

    :param token_marker: bytes that precede each token.
    :param end_marker: bytes that only a complete answer contains.
    """

    def __init__(self, token_marker: bytes, end_marker: bytes) -> None:
        self._token_marker = token_marker
        self._end_marker = end_marker
        self._tail = b""
        self._is_whole = False
        self.tokens = 0
        self.first_at: float | None = None

    def feed(self, data: bytes) -> None:
        """Process a chunk of the body.

        :param data: the chunk; a marker may span two chunks.
        """
        tail_bytes = max(len(self._token_marker), len(self._end_marker)) - 1
        text = self._tail + data
        # Markers that lie wholly in the tail were counted with the last chunk.
        self.tokens += text.count(self._token_marker) - self._tail.count(
            self._token_marker
        )
        self._is_whole = self._is_whole or self._end_marker in text
        self._tail = text[-tail_bytes:]
        if self.tokens and self.first_at is None:
            self.first_at = time.monotonic()

    def find_outcome(self, status: int) -> str:
        """Return how the answer ended.

        :param status: the HTTP status.
        """
        if status != _OK:
            return f"status-{status}"
        return "completed" if self._is_whole else "cut-short"


class Target(abc.ABC):
    """An interface that generates answers."""

    @abc.abstractmethod
    def make_request(
        self, request_id: str, prefix: str
    ) -> httpclient.HTTPRequest:
        """Return a request for an answer.

        :param request_id: identifier that is unique in a run.
        :param prefix: beginning of the prompt.
        """

    @abc.abstractmethod
    def make_progress(self) -> Progress:
        """Return a tracker for one answer of this target."""


class EntryTarget(Target):
    """An entry's streamed chat completions.

    :param url: the entry's base URL.
    :param model: the model's name.
    :param tokens: length of each answer in tokens.
    :param key: the API key.
    """

    def __init__(self, url: str, model: str, tokens: int, key: str) -> None:
        self._url = f"{url.rstrip('/')}/v1/chat/completions"
        self._model = model
        self._tokens = tokens
        self._headers = {"Authorization": f"Bearer {key}"}

    def make_request(
        self, request_id: str, prefix: str
    ) -> httpclient.HTTPRequest:
        """Return a request for an answer.

        :param request_id: identifier that is unique in a run.
        :param prefix: beginning of the prompt.
        """
        content = f"{prefix} {request_id} [tokens={self._tokens}]"
        body = {
            "model": self._model,
            "stream": True,
            "max_tokens": self._tokens,
            "messages": [{"role": "user", "content": content}],
        }
        return httpclient.HTTPRequest(
            self._url,
            method="POST",
            headers=self._headers,
            body=orjson.dumps(body),
        )

    def make_progress(self) -> Progress:
        """Return a tracker for one answer of this target."""
        # Only events of this shape carry a token; the first event of a stream
        # has a role before its content and so does not match.
        return Progress(b'"delta":{"content":', b"data: [DONE]")


class EngineTarget(Target):
    """An engine, called in the way an agent calls it.

    :param url: the engine's base URL.
    :param model: the model's name.
    :param version: the model's version.
    :param tokens: length of each answer in tokens.
    """

    def __init__(
        self, url: str, model: str, version: str, tokens: int
    ) -> None:
        self._url = f"{url.rstrip('/')}/generate"
        self._model = model
        self._version = version
        self._tokens = tokens

    def make_request(
        self, request_id: str, prefix: str
    ) -> httpclient.HTTPRequest:
        """Return a request for an answer.

        :param request_id: identifier that is unique in a run.
        :param prefix: beginning of the prompt.
        """
        body = {
            "request_id": request_id,
            "model": self._model,
            "version": self._version,
            "prompt": f"{prefix} {request_id} [tokens={self._tokens}]",
            "max_tokens": self._tokens,
        }
        return httpclient.HTTPRequest(
            self._url, method="POST", body=orjson.dumps(body)
        )

    def make_progress(self) -> Progress:
        """Return a tracker for one answer of this target."""
        return Progress(b'{"index":', b'"done":true')
