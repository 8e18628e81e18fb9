"""Stand-in for the platform's list of live and leaving instances."""

import typing

import click
import pydantic
import tornado.web

import standins.service as service

LIST_LAG_SECONDS = 0.2


class Faults(service.Faults):
    """Faults of the list."""

    lag_seconds: float = LIST_LAG_SECONDS
    outage: bool = False


class Instance(pydantic.BaseModel):
    """One instance as the platform sees it."""

    role: typing.Literal["agent", "entry"]
    address: str
    data_centre: str
    endpoint: str = ""
    state: typing.Literal["live", "leaving"] = "live"


class Instances(service.Service):
    """The list, which is read late."""

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
        """Remove an instance; False if it is unknown."""
        removed = self._current.pop(instance_id, None)
        self._lagged.set(dict(self._current))
        return removed is not None

    def read(self) -> dict[str, Instance]:
        """Return the list as it was some time ago."""
        return self._lagged.read(self.faults.lag_seconds)


class InstanceHandler(service.Handler[Instances]):
    """Changes one instance; the platform does so in an outage too."""

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
    """Shows the list."""

    def get(self) -> None:
        """Return the lagging list."""
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
