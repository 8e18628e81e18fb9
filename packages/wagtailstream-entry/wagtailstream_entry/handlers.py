"""The HTTP handlers of the entry."""

import asyncio
import dataclasses
import logging
import time
import typing

import orjson
import uuid_utils
from tornado import iostream, web

from wagtailstream_core import errors, session, work
from wagtailstream_entry import (
    authenticate,
    exchange,
    pipeline,
    responses,
    run_model,
)
from wagtailstream_platform import follower, metrics

STEP = "http"
MAX_BODY_BYTES_WITHOUT_BUNDLE = 262144

_REQUEST_LOGGER = logging.getLogger("wagtailstream.request")


@dataclasses.dataclass(frozen=True)
class Context:
    """What the handlers share.

    :param chat: the pipeline of chat completions.
    :param service: the pipeline of plain services.
    :param is_ready: whether the instance may be given work.
    """

    peer: str
    chat: pipeline.Pipeline
    service: pipeline.Pipeline
    follower: follower.Follower
    session_keys: session.SessionKeys
    metrics: metrics.Metrics
    open_requests: set[str]
    is_ready: typing.Callable[[], bool]
    describe: typing.Callable[[], responses.Json]


@dataclasses.dataclass(frozen=True)
class _Result:
    """How a request ended, for its log line."""

    name: str
    outcome: str
    step: str = ""
    peer: str = ""


_COMPLETED = _Result("completed", errors.Outcome.COMPLETED.value)
_CANCELLED = _Result(
    errors.Reason.CANCELLED.value, errors.Outcome.UNKNOWN.value, STEP
)


class _Handler(web.RequestHandler):
    """Writes JSON and refusals."""

    def initialize(self, context: Context) -> None:
        self._context = context
        self._received_at = time.time()
        self._request_id = str(uuid_utils.uuid7().hex)

    def set_default_headers(self) -> None:
        self.clear_header("Server")

    def write_json(self, status: int, body: responses.Json) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.write(orjson.dumps(body))

    def write_refusal(self, refusal: errors.Refusal) -> None:
        retry_after = responses.find_retry_after(refusal, time.time())
        if retry_after is not None:
            self.set_header("Retry-After", str(retry_after))
        self.set_header(responses.REQUEST_ID_HEADER, self._request_id)
        self.set_header(responses.OUTCOME_HEADER, refusal.outcome.value)
        self.write_json(
            responses.find_status(refusal), responses.make_error(refusal)
        )

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        known = {
            404: errors.Reason.MALFORMED,
            405: errors.Reason.MALFORMED,
        }
        reason = known.get(status_code, errors.Reason.INTERNAL)
        refusal = errors.Refusal(
            reason,
            errors.Outcome.UNKNOWN
            if reason is errors.Reason.INTERNAL
            else errors.Outcome.NOT_RUN,
            self._reason,
            STEP,
            self._context.peer,
        )
        self.write_refusal(refusal)
        self.set_status(status_code)
        self.finish()


@web.stream_request_body
class _BodyHandler(_Handler):
    """Reads a bounded body, then runs a pipeline."""

    def initialize(self, context: Context) -> None:
        super().initialize(context)
        self._body = bytearray()
        self._task: asyncio.Task[pipeline.Verdict] | None = None

    def prepare(self) -> None:
        length = self.request.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > self._find_bound():
            self._refuse_large()

    def _find_bound(self) -> int:
        known = self._context.follower.state.bundle
        if known is None:
            return MAX_BODY_BYTES_WITHOUT_BUNDLE
        return known.limits.max_body_bytes

    def _refuse_large(self) -> None:
        refusal = errors.not_run(
            errors.Reason.BODY_TOO_LARGE,
            f"the body exceeds {self._find_bound()} bytes",
            STEP,
            self._context.peer,
        )
        self._context.metrics.count(
            metrics.Metric.REFUSED, refusal.reason.value
        )
        self.set_header("Connection", "close")
        self.write_refusal(refusal)
        self.finish()

    def data_received(self, chunk: bytes) -> None:
        if self._finished:
            return
        self._body += chunk
        if len(self._body) > self._find_bound():
            self._refuse_large()

    def on_connection_close(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def make_exchange(self, sink: exchange.AnswerSink) -> exchange.Exchange:
        headers = self.request.headers
        return exchange.Exchange(
            request_id=self._request_id,
            authorization=headers.get("Authorization", ""),
            session_token=headers.get(responses.SESSION_HEADER, ""),
            deadline_text=headers.get(responses.DEADLINE_HEADER, ""),
            idempotency_key=headers.get(responses.IDEMPOTENCY_HEADER, ""),
            received_at=self._received_at,
            body=bytes(self._body),
            sink=sink,
            configuration=self._context.follower.state,
        )

    async def run(
        self, steps: pipeline.Pipeline, request: exchange.Exchange
    ) -> pipeline.Verdict | None:
        """Return the verdict, or None where the caller hung up."""
        counters = self._context.metrics
        counters.count(metrics.Metric.REQUESTS)
        self._context.open_requests.add(self._request_id)
        self._task = asyncio.ensure_future(steps.process(request))
        try:
            verdict = await self._task
        except (asyncio.CancelledError, iostream.StreamClosedError):
            counters.count(
                metrics.Metric.REFUSED, errors.Reason.CANCELLED.value
            )
            self._log_request(request, _CANCELLED)
            return None
        finally:
            self._context.open_requests.discard(self._request_id)
            await self._release(request)
        self._note_verdict(request, verdict)
        return verdict

    async def _release(self, request: exchange.Exchange) -> None:
        """Give up what was not settled; the agents bill it."""
        for run in request.runs:
            await run.close()

    def _note_verdict(
        self, request: exchange.Exchange, verdict: pipeline.Verdict
    ) -> None:
        counters = self._context.metrics
        counters.time(
            metrics.Metric.DURATION, time.time() - request.received_at
        )
        if verdict.is_ok():
            counters.count(metrics.Metric.COMPLETED)
            if request.first_token_at is not None:
                counters.time(
                    metrics.Metric.FIRST_TOKEN,
                    request.first_token_at - request.received_at,
                )
            self._log_request(request, _COMPLETED)
            return
        refusal = verdict.error
        counters.count(metrics.Metric.REFUSED, refusal.reason.value)
        self._log_request(
            request,
            _Result(
                refusal.reason.value,
                refusal.outcome.value,
                refusal.step,
                refusal.peer,
            ),
        )

    def _log_request(
        self, request: exchange.Exchange, result: "_Result"
    ) -> None:
        _REQUEST_LOGGER.info(
            "request",
            extra={
                "request_id": request.request_id,
                "customer": request.customer.name if request.customer else "",
                "model": request.origin.model,
                "version": request.origin.version,
                "endpoint": request.origin.endpoint,
                "result": result.name,
                "outcome": result.outcome,
                "step": result.step,
                "peer": result.peer,
                "attempts": request.attempt_count,
                "seconds": round(time.time() - request.received_at, 4),
                "offset": self._context.follower.state.offset,
            },
        )

    def set_origin_headers(self, request: exchange.Exchange) -> None:
        self.set_header(responses.REQUEST_ID_HEADER, request.request_id)
        self.set_header(
            responses.OUTCOME_HEADER, errors.Outcome.COMPLETED.value
        )
        for name, value in (
            (responses.MODEL_HEADER, request.origin.model),
            (responses.VERSION_HEADER, request.origin.version),
            (responses.ENDPOINT_HEADER, request.origin.endpoint),
        ):
            if value:
                self.set_header(name, value)
        made = run_model.make_session(request)
        if made is not None:
            token = session.issue_token(made, self._context.session_keys)
            self.set_header(responses.SESSION_HEADER, token)


class _ChatSink(exchange.AnswerSink):
    """Streams where the caller asked for it, and gathers otherwise."""

    def __init__(self, handler: "ChatHandler") -> None:
        self._handler = handler
        self._request: exchange.Exchange | None = None
        self._gathered = exchange.BufferSink()
        self._is_streaming = False

    @property
    def is_streaming(self) -> bool:
        """Whether the caller has been sent a part of the answer."""
        return self._is_streaming

    @property
    def content(self) -> bytes:
        """All pieces so far, where they are gathered."""
        return self._gathered.content

    async def start(self, request: exchange.Exchange) -> None:
        self._request = request
        if request.is_stream:
            self._is_streaming = True
            await self._handler.start_stream(request)

    async def write(self, data: bytes) -> None:
        if self._request is not None and self._is_streaming:
            delta = {"content": data.decode("utf-8", "replace")}
            await self._handler.send_delta(self._request, delta, None)
        else:
            await self._gathered.write(data)


class ChatHandler(_BodyHandler):
    """Chat completions, streamed and not."""

    async def post(self) -> None:
        """Answer a chat completion."""
        sink = _ChatSink(self)
        request = self.make_exchange(sink)
        verdict = await self.run(self._context.chat, request)
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
        return int(self._received_at)

    async def start_stream(self, request: exchange.Exchange) -> None:
        """Send the headers and the first event of a stream.

        :param request: the request.
        """
        self.set_origin_headers(request)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")
        await self.send_delta(
            request, {"role": "assistant", "content": ""}, None
        )

    async def send_delta(
        self,
        request: exchange.Exchange,
        delta: responses.Json,
        finish_reason: str | None,
    ) -> None:
        """Send one event of a stream.

        :param request: the request.
        :param delta: what the event adds.
        :param finish_reason: why generation ended, in the last event.
        """
        body = responses.make_chunk(
            request, self._created, delta, finish_reason
        )
        await self._send_event(body)

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


class ServiceHandler(_BodyHandler):
    """Operations of plain services."""

    async def get(self, service: str, operation: str) -> None:
        """Call an operation.

        :param service: the service's name.
        :param operation: the path below it.
        """
        await self._call("GET", service, operation)

    async def post(self, service: str, operation: str) -> None:
        """Call an operation.

        :param service: the service's name.
        :param operation: the path below it.
        """
        await self._call("POST", service, operation)

    async def _call(self, method: str, service: str, operation: str) -> None:
        sink = exchange.BufferSink()
        request = self.make_exchange(sink)
        request.operation = work.ServiceWork(
            service, operation, method, request.body
        )
        verdict = await self.run(self._context.service, request)
        if verdict is None:
            return
        self._request_id = request.request_id
        if verdict.is_error():
            self.write_refusal(verdict.error)
            return
        self.set_origin_headers(request)
        self.set_status(request.status)
        self.set_header("Content-Type", "application/json")
        self.write(sink.content)


class ModelsHandler(_Handler):
    """The models that a customer may use."""

    async def get(self) -> None:
        """Answer the list."""
        known = self._context.follower.state.bundle
        header = self.request.headers.get("Authorization", "")
        customer = authenticate.find_customer(header, known) if known else None
        if customer is None:
            self.write_refusal(
                errors.not_run(
                    errors.Reason.UNAUTHENTICATED,
                    "the API key is missing or unknown",
                    authenticate.STEP,
                    self._context.peer,
                )
            )
            return
        names = [allowance.model for allowance in customer.allow]
        self.write_json(
            200, responses.make_models(names + list(customer.ladders))
        )


class HealthHandler(_Handler):
    """Whether the process is live."""

    def get(self) -> None:
        """Answer that it is."""
        self.write_json(200, {"live": True})


class ReadyHandler(_Handler):
    """Whether the instance may be given work."""

    def get(self) -> None:
        """Answer with 200 or 503."""
        is_ready = self._context.is_ready()
        self.write_json(200 if is_ready else 503, {"ready": is_ready})


class StatusHandler(_Handler):
    """What this instance and the agents it knows have in force."""

    def get(self) -> None:
        """Answer with the status."""
        self.write_json(200, self._context.describe())


class NotFoundHandler(_Handler):
    """Every other path."""

    def prepare(self) -> None:
        """Refuse the request."""
        self.send_error(404)


def make_application(context: Context) -> web.Application:
    """Return the entry's HTTP application.

    :param context: what the handlers share.
    """
    arguments = {"context": context}
    return web.Application(
        [
            (r"/v1/chat/completions", ChatHandler, arguments),
            (r"/v1/models", ModelsHandler, arguments),
            (
                r"/v1/services/([A-Za-z0-9._-]+)/([A-Za-z0-9._/-]+)",
                ServiceHandler,
                arguments,
            ),
            (r"/healthz", HealthHandler, arguments),
            (r"/readyz", ReadyHandler, arguments),
            (r"/status", StatusHandler, arguments),
        ],
        default_handler_class=NotFoundHandler,
        default_handler_args=arguments,
        log_function=lambda _: None,
    )
