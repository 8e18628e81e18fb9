"""Stand-in for a back end that is no model engine, such as a registry."""

import asyncio
import dataclasses
import os
import typing

import click
import tornado.web

import standins.service as service

DELAY_SECONDS = 0.01
REQUEST_ID_HEADER = "Wagtail-Request-Id"


class Faults(service.Faults):
    """Faults that a test injects into the service.

    :param delay_seconds: time that an operation takes.
    :param fail: every operation is answered 500 and not recorded.
    :param lose_answers: number of next operations that run while their
        connection is closed without an answer.
    :param crash_marker: a body that contains it ends the process.
    """

    delay_seconds: float = DELAY_SECONDS
    fail: bool = False
    lose_answers: int = 0
    crash_marker: str = "[crash]"


@dataclasses.dataclass
class Run:
    """An operation that the service has run."""

    operation: str
    request_id: str
    body: typing.Any


class Plain(service.Service):
    """A plain service and a record of the operations it has run."""

    def __init__(self, name: str, faults: Faults) -> None:
        super().__init__(faults)
        self.name = name
        self.faults = faults
        self.runs: list[Run] = []

    def routes(self) -> service.Rules:
        """Return the URL rules of the service."""
        return [(r"/runs", RunsHandler), (r"/(.+)", OperationHandler)]


class RunsHandler(service.Handler[Plain]):
    """Lists the operations that have run."""

    def get(self) -> None:
        """Return all operations in the order in which they ran."""
        runs = [dataclasses.asdict(run) for run in self.service.runs]
        self.reply({"runs": runs})


class OperationHandler(service.Handler[Plain]):
    """Runs an operation."""

    async def get(self, operation: str) -> None:
        """Run an idempotent operation."""
        await self._run(operation, None)

    async def post(self, operation: str) -> None:
        """Run an operation on the JSON body."""
        await self._run(operation, self.parse_json())

    async def _run(self, operation: str, body: typing.Any) -> None:
        faults = self.service.faults
        if faults.fail:
            raise tornado.web.HTTPError(500, reason="failed")
        number = self._record(operation, body)
        marker = faults.crash_marker.encode()
        if marker and marker in self.request.body:
            os._exit(1)
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            self.drop_connection()
            return
        await asyncio.sleep(faults.delay_seconds)
        self.reply(
            {
                "service": self.service.name,
                "operation": operation,
                "result": f"op-{number}",
                "echo": body,
            }
        )

    def _record(self, operation: str, body: typing.Any) -> int:
        request_id = self.request.headers.get(REQUEST_ID_HEADER, "")
        self.service.runs.append(Run(operation, request_id, body))
        return len(self.service.runs)


@click.command()
@service.port_option
@click.option("--name", default="plain", show_default=True)
def main(port: int, name: str) -> None:
    """Run a plain service."""
    service.run(Plain(name, Faults()), port)


if __name__ == "__main__":
    main()
