"""Common base of the stand-ins: handlers, faults and the server loop."""

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
    """Base of the faults that a test sets; rejects unknown names."""

    model_config = pydantic.ConfigDict(extra="forbid")


class Service(abc.ABC):
    """Base of a stand-in: its faults and its URL rules."""

    def __init__(self, faults: Faults) -> None:
        self.base_faults = faults

    @abc.abstractmethod
    def routes(self) -> Rules:
        """Return the URL rules of the service."""

    def faults_changed(self) -> None:  # noqa: B027
        """Apply changed faults; called after each change."""

    def merge_faults(self, changes: dict[str, typing.Any]) -> None:
        """Merge changes into the faults after validating them.

        :param changes: new values by fault name.
        :raises pydantic.ValidationError: a name or value is invalid; no
            fault has changed.
        """
        merged = {**self.base_faults.model_dump(), **changes}
        checked = type(self.base_faults).model_validate(merged)
        for name in changes:
            setattr(self.base_faults, name, getattr(checked, name))
        self.faults_changed()

    def application(self) -> tornado.web.Application:
        """Return the web application, with /faults added to the rules."""
        rules: Rules = [(r"/faults", FaultsHandler)]
        rules += self.routes()
        return tornado.web.Application(
            [(path, handler, {"service": self}) for path, handler in rules],
            log_function=_log_nothing,
        )


class Handler(tornado.web.RequestHandler, typing.Generic[ServiceT]):
    """Base of the stand-ins' request handlers."""

    service: ServiceT

    def initialize(self, service: ServiceT) -> None:
        """Store the stand-in that the handler belongs to."""
        self.service = service

    def parse(self, model: type[ModelT]) -> ModelT:
        """Return the validated JSON body; an invalid one is answered 400.

        :param model: the type of the body.
        """
        try:
            return model.model_validate_json(self.request.body)
        except pydantic.ValidationError as error:
            raise tornado.web.HTTPError(400, reason="invalid") from error

    def parse_json(self) -> typing.Any:
        """Return the JSON body, or None if the body is empty."""
        try:
            return orjson.loads(self.request.body or b"null")
        except orjson.JSONDecodeError as error:
            raise tornado.web.HTTPError(400, reason="not JSON") from error

    def number(self, name: str, default: float) -> float:
        """Return a number from the query string.

        :param name: the argument's name.
        :param default: the value if it is absent.
        """
        try:
            return float(self.get_query_argument(name, str(default)))
        except ValueError as error:
            raise tornado.web.HTTPError(
                400, reason=f"{name} is not a number"
            ) from error

    def reply(self, body: typing.Any, status: int = 200) -> None:
        """Finish the response with a JSON body.

        :param body: the value to encode.
        :param status: the HTTP status.
        """
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(body))

    def drop_connection(self) -> None:
        """Close the connection without a response."""
        self.detach().close()

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Write an error as JSON."""
        self.reply({"error": self._reason}, status_code)


class FaultsHandler(Handler[Service]):
    """Serves and changes the faults."""

    def get(self) -> None:
        """Return all faults."""
        self.reply(self.service.base_faults.model_dump())

    def post(self) -> None:
        """Merge a JSON object into the faults."""
        changes = self.parse_json()
        if not isinstance(changes, dict):
            raise tornado.web.HTTPError(400, reason="not a JSON object")
        try:
            self.service.merge_faults(changes)
        except pydantic.ValidationError as error:
            self.reply({"error": str(error)}, 400)
            return
        self.get()


class LaggedValue(typing.Generic[ValueT]):
    """A value with a history, read as it was some time ago."""

    def __init__(self, initial: ValueT) -> None:
        self._initial = initial
        self._history: collections.deque[tuple[float, ValueT]] = (
            collections.deque(maxlen=MAX_HISTORY_ENTRIES)
        )

    def set(self, value: ValueT) -> None:
        """Record a new value."""
        self._history.append((time.monotonic(), value))

    def read(self, lag_seconds: float) -> ValueT:
        """Return the value as it was some time ago.

        :param lag_seconds: age of the value.
        """
        cutoff_time = time.monotonic() - lag_seconds
        for recorded_at, value in reversed(self._history):
            if recorded_at <= cutoff_time:
                return value
        return self._initial


def parse_quality(texts: collections.abc.Iterable[str]) -> dict[str, float]:
    """Parse options such as ``MODEL:VERSION=0.9``.

    :param texts: the options.
    :returns: quality by the text before the last ``=``.
    :raises click.BadParameter: an option is malformed.
    """
    qualities = {}
    for text in texts:
        name, separator, number = text.rpartition("=")
        try:
            qualities[name] = float(number)
        except ValueError as error:
            raise click.BadParameter(f"{text!r} is not NAME=NUMBER") from error
        if not separator:
            raise click.BadParameter(f"{text!r} is not NAME=NUMBER")
    return qualities


def run(service: Service, port: int) -> None:
    """Serve a stand-in until SIGTERM.

    :param service: the stand-in.
    :param port: the port; 0 lets the system pick one.
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
