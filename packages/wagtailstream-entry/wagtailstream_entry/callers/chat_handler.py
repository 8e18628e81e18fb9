"""The handler of chat completions, streamed and not."""

import orjson
from tornado import iostream

from wagtailstream_entry.callers import handler_base, responses
from wagtailstream_entry.filters import exchange, pipeline

# A placeholder for the content of an event in its encoded template.
_CONTENT_MARK = "\x00"


class _ChatSink(exchange.AnswerSink):
    """Streams the answer if the caller asked for that, or else buffers it."""

    def __init__(self, handler: "ChatHandler") -> None:
        self._handler = handler
        self._request: exchange.Exchange | None = None
        self._buffer = exchange.BufferSink()
        self._is_streaming = False

    @property
    def is_streaming(self) -> bool:
        """Whether the stream to the caller has started."""
        return self._is_streaming

    @property
    def content(self) -> bytes:
        """All pieces so far; empty if the answer is streamed."""
        return self._buffer.content

    async def start(self, request: exchange.Exchange) -> None:
        self._request = request
        if request.is_stream:
            self._is_streaming = True
            await self._handler.start_stream(request)

    async def write(self, data: bytes) -> None:
        if self._request is not None and self._is_streaming:
            await self._handler.send_content(data)
        else:
            await self._buffer.write(data)


class ChatHandler(handler_base.BodyHandler):
    """Handles chat completions, streamed and not."""

    _event_prefix = b""
    _event_suffix = b""

    async def post(self) -> None:
        """Run a chat completion and write its answer."""
        sink = _ChatSink(self)
        request = self.make_exchange(sink)
        verdict = await self.run(self.context.chat, request)
        if verdict is None:
            return
        if sink.is_streaming:
            await self._end_stream(request, verdict)
        elif verdict.is_error():
            self.write_refusal(verdict.error)
        else:
            self._write_whole(request, sink)

    def _write_whole(
        self, request: exchange.Exchange, sink: _ChatSink
    ) -> None:
        self.set_origin_headers(request)
        content = sink.content.decode("utf-8", "replace")
        self.write_json(
            200,
            responses.make_completion(request, content, self._created),
        )

    @property
    def _created(self) -> int:
        return int(self.received_at)

    async def start_stream(self, request: exchange.Exchange) -> None:
        """Send the headers and the first event of a stream.

        :param request: the request.
        """
        self.set_origin_headers(request)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")
        opening = {"role": "assistant", "content": ""}
        await self._send_event(self._make_chunk(request, opening))
        # Events differ only in their content, so the rest is encoded once.
        marked = self._make_chunk(request, {"content": _CONTENT_MARK})
        encoded = b"data: " + orjson.dumps(marked) + b"\n\n"
        self._event_prefix, _, self._event_suffix = encoded.partition(
            orjson.dumps(_CONTENT_MARK)
        )

    def _make_chunk(
        self, request: exchange.Exchange, delta: responses.Json
    ) -> responses.Json:
        return responses.make_chunk(request, self._created, delta, None)

    async def send_content(self, data: bytes) -> None:
        """Send one event with a piece of the answer.

        :param data: the piece.
        """
        text = orjson.dumps(data.decode("utf-8", "replace"))
        self.write(self._event_prefix + text + self._event_suffix)
        await self.flush()

    async def _send_event(self, body: responses.Json) -> None:
        self.write(b"data: " + orjson.dumps(body) + b"\n\n")
        await self.flush()

    async def _end_stream(
        self, request: exchange.Exchange, verdict: pipeline.Verdict
    ) -> None:
        try:
            if verdict.is_error():
                await self._send_event(responses.make_error(verdict.error))
                return
            reason = responses.find_finish_reason(request)
            body = responses.make_chunk(request, self._created, {}, reason)
            body["usage"] = responses.make_usage(request)
            await self._send_event(body)
            self.write(b"data: [DONE]\n\n")
            await self.flush()
        except iostream.StreamClosedError:
            return
