"""The handler of operations of plain services."""

from wagtailstream_core import work
from wagtailstream_entry.callers import handler_base
from wagtailstream_entry.filters import exchange


class ServiceHandler(handler_base.BodyHandler):
    """Handles operations of plain services."""

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
        verdict = await self.run(self.context.service, request)
        if verdict is None:
            return
        self.request_id = request.request_id
        if verdict.is_error():
            self.write_refusal(verdict.error)
            return
        self.set_origin_headers(request)
        self.set_status(request.status)
        self.set_header("Content-Type", "application/json")
        self.write(sink.content)
