"""Stand-in for the platform's list of instances, live and leaving."""

import typing

import click
import pydantic
import tornado.web

import standins.service as service

LIST_LAG_SECONDS = 0.2


class Faults(service.Faults):
    """Faults that a test injects into the list.

    :param lag_seconds: age of the list that readers get.
    :param outage: reads are answered 503; changes are still accepted.
    """

    lag_seconds: float = LIST_LAG_SECONDS
    outage: bool = False


class Instance(pydantic.BaseModel):
    """An instance, as the list describes it.

    :param address: IP address and port.
    :param endpoint: the agent's endpoint; empty for an entry.
    """

    role: typing.Literal["agent", "entry"]
    address: str
    data_centre: str
    endpoint: str = ""
    state: typing.Literal["live", "leaving"] = "live"


class Instances(service.Service):
    """The instance list, served with a lag."""

    def __init__(self, faults: Faults) -> None:
        super().__init__(faults)
        self.faults = faults
        self._current: dict[str, Instance] = {}
        self._lagged = service.LaggedValue[dict[str, Instance]]({})

    def routes(self) -> service.Rules:
        """Return the URL rules of the list."""
        return [
            (r"/instances", ListHandler),
            (r"/instances/([^/]+)", InstanceHandler),
        ]

    def put(self, instance_id: str, instance: Instance) -> None:
        """Add or replace an instance."""
        self._current[instance_id] = instance
        self._lagged.set(dict(self._current))

    def remove(self, instance_id: str) -> bool:
        """Remove an instance; return False if it is unknown."""
        removed = self._current.pop(instance_id, None)
        self._lagged.set(dict(self._current))
        return removed is not None

    def read(self) -> dict[str, Instance]:
        """Return the list as it was ``lag_seconds`` ago."""
        return self._lagged.read(self.faults.lag_seconds)


class InstanceHandler(service.Handler[Instances]):
    """Changes one instance, also during an outage, as the platform does."""

    def put(self, instance_id: str) -> None:
        """Add or replace the instance."""
        self.service.put(instance_id, self.parse(Instance))
        self.reply({})

    def delete(self, instance_id: str) -> None:
        """Remove the instance."""
        if not self.service.remove(instance_id):
            raise tornado.web.HTTPError(404)
        self.reply({})


class ListHandler(service.Handler[Instances]):
    """Serves the list."""

    def get(self) -> None:
        """Return the list with its lag."""
        if self.service.faults.outage:
            raise tornado.web.HTTPError(503, reason="outage")
        listed = [
            {"id": instance_id, **instance.model_dump()}
            for instance_id, instance in self.service.read().items()
        ]
        self.reply({"instances": listed})


@click.command()
@service.port_option
def main(port: int) -> None:
    """Run the instance list."""
    service.run(Instances(Faults()), port)


if __name__ == "__main__":
    main()
