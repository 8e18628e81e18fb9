"""Base classes of the HTTP handlers: bounded bodies, refusals, logging."""

import asyncio
import dataclasses
import logging
import time
import typing

import expression
import orjson
import uuid_utils
from tornado import iostream, web

from wagtailstream_core import errors, session
from wagtailstream_entry.callers import open_requests, responses
from wagtailstream_entry.filters import exchange, pipeline, run_model
from wagtailstream_runtime import follower, metrics

STEP = "http"
# When a caller may retry a request that a shutdown aborted.
DRAIN_RETRY_SECONDS = 1.0
# The limit of a body until a bundle that sets one is in force.
MAX_BODY_BYTES_WITHOUT_BUNDLE = 262144

_REQUEST_LOGGER = logging.getLogger("wagtailstream.request")


@dataclasses.dataclass(frozen=True)
class Context:
    """Objects and settings that all handlers share.

    :param peer: this instance's name, for refusals.
    :param chat: the pipeline of chat completions.
    :param service: the pipeline of plain services.
    :param is_ready: returns whether the instance accepts work.
    :param describe: returns the body of the status page.
    """

    peer: str
    chat: pipeline.Pipeline
    service: pipeline.Pipeline
    follower: follower.Follower
    session_keys: session.SessionKeys
    metrics: metrics.Metrics
    open_requests: open_requests.OpenRequests
    is_ready: typing.Callable[[], bool]
    describe: typing.Callable[[], responses.Json]


@dataclasses.dataclass(frozen=True)
class _Result:
    """The result of a request, for its log line."""

    name: str
    outcome: str
    step: str = ""
    peer: str = ""


_COMPLETED = _Result("completed", errors.Outcome.COMPLETED.value)
_CANCELLED = _Result(
    errors.Reason.CANCELLED.value, errors.Outcome.UNKNOWN.value, STEP
)


class Handler(web.RequestHandler):
    """Writes JSON responses and refusals."""

    def initialize(self, context: Context) -> None:
        """Store the shared context and the time of arrival.

        :param context: the context that all handlers share.
        """
        self._context = context
        self._received_at = time.time()
        self.request_id = str(uuid_utils.uuid7().hex)

    @property
    def context(self) -> Context:
        """The context that all handlers share."""
        return self._context

    @property
    def received_at(self) -> float:
        """When the request arrived, in Unix seconds."""
        return self._received_at

    def set_default_headers(self) -> None:
        """Remove the Server header."""
        self.clear_header("Server")

    def write_json(self, status: int, body: responses.Json) -> None:
        """Write a response with a JSON body.

        :param status: the HTTP status.
        :param body: the body.
        """
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.write(orjson.dumps(body))

    def write_refusal(self, refusal: errors.Refusal) -> None:
        """Write a refusal as a response, with its headers.

        :param refusal: the refusal.
        """
        retry_after = responses.find_retry_after(refusal, time.time())
        if retry_after is not None:
            self.set_header("Retry-After", str(retry_after))
        self.set_header(responses.REQUEST_ID_HEADER, self.request_id)
        self.set_header(responses.OUTCOME_HEADER, refusal.outcome.value)
        self.write_json(
            responses.find_status(refusal), responses.make_error(refusal)
        )

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Write a refusal for an error that tornado raised.

        :param status_code: the HTTP status.
        :param kwargs: further arguments of tornado; not used.
        """
        reasons = {
            404: errors.Reason.MALFORMED,
            405: errors.Reason.MALFORMED,
        }
        reason = reasons.get(status_code, errors.Reason.INTERNAL)
        refusal = errors.Refusal(
            reason,
            errors.Outcome.UNKNOWN
            if reason is errors.Reason.INTERNAL
            else errors.Outcome.NOT_RUN,
            self._reason,
            STEP,
            self.context.peer,
        )
        self.write_refusal(refusal)
        self.set_status(status_code)
        self.finish()


@web.stream_request_body
class BodyHandler(Handler):
    """Reads a body of bounded size, then runs a pipeline."""

    def initialize(self, context: Context) -> None:
        """Store the shared context and prepare to read the body.

        :param context: the context that all handlers share.
        """
        super().initialize(context)
        self._body = bytearray()
        self._task: asyncio.Task[pipeline.Verdict] | None = None
        # Identifies this call alone. The `request_id` of a service call is
        # replaced by one that all retries with its idempotency key share.
        self._open_request_id = self.request_id
        self._is_caller_gone = False

    def prepare(self) -> None:
        """Refuse a body whose Content-Length exceeds the limit."""
        length = self.request.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > self._max_body_bytes():
            self._refuse_large_body()

    def _max_body_bytes(self) -> int:
        current_bundle = self.context.follower.state.bundle
        if current_bundle is None:
            return MAX_BODY_BYTES_WITHOUT_BUNDLE
        return current_bundle.limits.max_body_bytes

    def _refuse_large_body(self) -> None:
        refusal = errors.not_run(
            errors.Reason.BODY_TOO_LARGE,
            f"the body exceeds the limit of {self._max_body_bytes()} bytes",
            STEP,
            self.context.peer,
        )
        self.context.metrics.count(
            metrics.Metric.REFUSED, refusal.reason.value
        )
        self.set_header("Connection", "close")
        self.write_refusal(refusal)
        self.finish()

    def data_received(self, chunk: bytes) -> None:
        """Append a chunk to the body; refuse the body if it is too large.

        :param chunk: the next chunk of the body.
        """
        if self._finished:
            return
        self._body += chunk
        if len(self._body) > self._max_body_bytes():
            self._refuse_large_body()

    def on_connection_close(self) -> None:
        """Cancel the request, since the caller closed its connection."""
        self._is_caller_gone = True
        if self._task is not None:
            self._task.cancel()
        self.context.open_requests.discard(self._open_request_id)

    def on_finish(self) -> None:
        """Remove the request from the open ones; its answer is written."""
        self.context.open_requests.discard(self._open_request_id)

    def make_exchange(self, sink: exchange.AnswerSink) -> exchange.Exchange:
        """Return the request in the form that the pipeline processes.

        :param sink: receives the answer.
        """
        headers = self.request.headers
        return exchange.Exchange(
            request_id=self.request_id,
            authorization=headers.get("Authorization", ""),
            session_token=headers.get(responses.SESSION_HEADER, ""),
            deadline_text=headers.get(responses.DEADLINE_HEADER, ""),
            idempotency_key=headers.get(responses.IDEMPOTENCY_HEADER, ""),
            received_at=self.received_at,
            body=bytes(self._body),
            sink=sink,
            configuration=self.context.follower.state,
        )

    async def run(
        self, request_pipeline: pipeline.Pipeline, request: exchange.Exchange
    ) -> pipeline.Verdict | None:
        """Run the request and return the verdict.

        None means that the caller closed its connection.

        :param request_pipeline: the pipeline that processes the request.
        :param request: the request.
        """
        counters = self.context.metrics
        counters.count(metrics.Metric.REQUESTS)
        self._task = asyncio.ensure_future(request_pipeline.process(request))
        self.context.open_requests.add(self._open_request_id, self._task)
        try:
            verdict = await self._task
        except (asyncio.CancelledError, iostream.StreamClosedError):
            if self._is_caller_gone or not self._is_aborted:
                counters.count(
                    metrics.Metric.REFUSED, errors.Reason.CANCELLED.value
                )
                self._log_request(request, _CANCELLED)
                return None
            verdict = expression.Error(self._refuse_aborted(request))
        finally:
            await self._close_unsettled_runs(request)
        self._record_verdict(request, verdict)
        return verdict

    @property
    def _is_aborted(self) -> bool:
        return self.context.open_requests.is_aborted

    def _refuse_aborted(self, request: exchange.Exchange) -> errors.Refusal:
        return errors.Refusal(
            errors.Reason.DRAINING,
            errors.Outcome.UNKNOWN
            if request.attempt_count
            else errors.Outcome.NOT_RUN,
            "this entry shut down before the answer was complete",
            STEP,
            self.context.peer,
            time.time() + DRAIN_RETRY_SECONDS,
        )

    async def _close_unsettled_runs(self, request: exchange.Exchange) -> None:
        """Close the runs that were not settled; their agents bill them."""
        for run in request.runs:
            await run.close()

    def _record_verdict(
        self, request: exchange.Exchange, verdict: pipeline.Verdict
    ) -> None:
        counters = self.context.metrics
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
                "offset": self.context.follower.state.offset,
            },
        )

    def set_origin_headers(self, request: exchange.Exchange) -> None:
        """Set the headers for the origin and the session of an answer.

        :param request: the answered request.
        """
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
        next_session = run_model.make_session(request)
        if next_session is not None:
            token = session.issue_token(
                next_session, self.context.session_keys
            )
            self.set_header(responses.SESSION_HEADER, token)
