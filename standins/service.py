"""Shared parts of the stand-ins: handlers, faults and the server loop."""

import abc
import asyncio
import collections
import collections.abc
import signal
import time
import typing

import click
import orjson
import pydantic
import tornado.httpserver
import tornado.netutil
import tornado.web

HOST = "127.0.0.1"
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HISTORY_ENTRIES = 10_000

Rules = list[tuple[typing.Any, ...]]
ModelT = typing.TypeVar("ModelT", bound=pydantic.BaseModel)
ServiceT = typing.TypeVar("ServiceT", bound="Service")
ValueT = typing.TypeVar("ValueT")

port_option = click.option(
    "--port", default=0, show_default=True, help="0: the system picks."
)


class Faults(pydantic.BaseModel):
    """Faults that a test sets; unknown names are rejected."""

    model_config = pydantic.ConfigDict(extra="forbid")


class Service(abc.ABC):
    """A stand-in: its faults and its routes."""

    def __init__(self, faults: Faults) -> None:
        self.base_faults = faults

    @abc.abstractmethod
    def routes(self) -> Rules:
        """Return the URL rules of the service."""

    def faults_changed(self) -> None:  # noqa: B027
        """React to changed faults."""

    def merge_faults(self, changes: dict[str, typing.Any]) -> None:
        """Merge validated changes into the faults.

        :param changes: New values by fault name.
        """
        merged = {**self.base_faults.model_dump(), **changes}
        checked = type(self.base_faults).model_validate(merged)
        for name in changes:
            setattr(self.base_faults, name, getattr(checked, name))
        self.faults_changed()

    def application(self) -> tornado.web.Application:
        """Return the web application, the fault handler included."""
        rules: Rules = [(r"/faults", FaultsHandler)]
        rules += self.routes()
        return tornado.web.Application(
            [(path, handler, {"service": self}) for path, handler in rules],
            log_function=_log_nothing,
        )


class Handler(tornado.web.RequestHandler, typing.Generic[ServiceT]):
    """Base of all handlers."""

    service: ServiceT

    def initialize(self, service: ServiceT) -> None:
        """Store the service that the handler works for."""
        self.service = service

    def parse(self, model: type[ModelT]) -> ModelT:
        """Validate the JSON body.

        :param model: The type of the body.
        """
        try:
            return model.model_validate_json(self.request.body)
        except pydantic.ValidationError as error:
            raise tornado.web.HTTPError(400, reason="invalid") from error

    def parse_json(self) -> typing.Any:
        """Return the JSON body, or None if it is empty."""
        try:
            return orjson.loads(self.request.body or b"null")
        except orjson.JSONDecodeError as error:
            raise tornado.web.HTTPError(400, reason="not JSON") from error

    def number(self, name: str, default: float) -> float:
        """Return a number from the query.

        :param name: The argument.
        :param default: The value if it is absent.
        """
        try:
            return float(self.get_query_argument(name, str(default)))
        except ValueError as error:
            raise tornado.web.HTTPError(400, reason=name) from error

    def reply(self, body: typing.Any, status: int = 200) -> None:
        """Finish with a JSON body.

        :param body: The value to encode.
        :param status: The HTTP status.
        """
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(body))

    def drop_connection(self) -> None:
        """Close the connection without an answer."""
        self.detach().close()

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Write an error as JSON."""
        self.reply({"error": self._reason}, status_code)


class FaultsHandler(Handler[Service]):
    """Shows and changes the faults."""

    def get(self) -> None:
        """Return all faults."""
        self.reply(self.service.base_faults.model_dump())

    def post(self) -> None:
        """Merge a JSON object into the faults."""
        changes = self.parse_json()
        if not isinstance(changes, dict):
            raise tornado.web.HTTPError(400, reason="no object")
        try:
            self.service.merge_faults(changes)
        except pydantic.ValidationError as error:
            self.reply({"error": str(error)}, 400)
            return
        self.get()


class LaggedValue(typing.Generic[ValueT]):
    """A value that is read as it was some time ago."""

    def __init__(self, initial: ValueT) -> None:
        self._initial = initial
        self._history: collections.deque[tuple[float, ValueT]] = (
            collections.deque(maxlen=MAX_HISTORY_ENTRIES)
        )

    def set(self, value: ValueT) -> None:
        """Record the present value."""
        self._history.append((time.monotonic(), value))

    def read(self, lag_seconds: float) -> ValueT:
        """Return the value of a past moment.

        :param lag_seconds: How long ago.
        """
        cutoff_time = time.monotonic() - lag_seconds
        for recorded_at, value in reversed(self._history):
            if recorded_at <= cutoff_time:
                return value
        return self._initial


def parse_quality(texts: collections.abc.Iterable[str]) -> dict[str, float]:
    """Parse options such as ``MODEL:VERSION=0.9``.

    :param texts: The options.
    """
    qualities = {}
    for text in texts:
        name, separator, number = text.rpartition("=")
        try:
            qualities[name] = float(number)
        except ValueError as error:
            raise click.BadParameter(text) from error
        if not separator:
            raise click.BadParameter(text)
    return qualities


def run(service: Service, port: int) -> None:
    """Serve until SIGTERM.

    :param service: The stand-in.
    :param port: The port; 0 lets the system pick.
    """
    asyncio.run(_serve(service, port))


async def _serve(service: Service, port: int) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    server = tornado.httpserver.HTTPServer(
        service.application(), max_body_size=MAX_BODY_BYTES
    )
    sockets = tornado.netutil.bind_sockets(port, HOST)
    server.add_sockets(sockets)
    print(f"listening {sockets[0].getsockname()[1]}", flush=True)
    await stopped.wait()
    server.stop()


def _log_nothing(handler: tornado.web.RequestHandler) -> None:
    pass
