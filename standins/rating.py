"""Stand-in for the platform's service that rates answers."""

import asyncio

import click
import pydantic
import tornado.web
import xxhash

import standins.service as service

DEFAULT_QUALITY = 0.8
GARBLED_SCORE = 0.05
SPREAD = 0.1


class Faults(service.Faults):
    """Faults that a test injects into the rating service."""

    delay_seconds: float = 0.0
    outage: bool = False


class RatingRequest(pydantic.BaseModel):
    """Body of POST /ratings: an answer to rate."""

    request_id: str
    model: str
    version: str
    prompt: str
    answer: str
    task: str = ""


class Rating(service.Service):
    """Rates answers within ``SPREAD`` of their version's base quality.

    :param qualities: base quality by ``MODEL`` or ``MODEL:VERSION``.
    """

    def __init__(self, qualities: dict[str, float], faults: Faults) -> None:
        super().__init__(faults)
        self.faults = faults
        self._qualities = qualities

    def routes(self) -> service.Rules:
        """Return the URL rules of the service."""
        return [(r"/ratings", RatingsHandler)]

    def score(self, request: RatingRequest) -> float:
        """Return the score of an answer, derived from the prompt's hash."""
        if "garbled" in request.answer:
            return GARBLED_SCORE
        text = f"{request.model}\0{request.version}\0{request.prompt}"
        fraction = xxhash.xxh64_intdigest(text.encode()) / 2**64
        base = self._find_base_quality(request.model, request.version)
        return min(1.0, max(0.0, base + SPREAD * (2 * fraction - 1)))

    def _find_base_quality(self, model: str, version: str) -> float:
        default = self._qualities.get(model, DEFAULT_QUALITY)
        return self._qualities.get(f"{model}:{version}", default)


class RatingsHandler(service.Handler[Rating]):
    """Rates one answer."""

    async def post(self) -> None:
        """Return the score of the answer in the body."""
        request = self.parse(RatingRequest)
        await asyncio.sleep(self.service.faults.delay_seconds)
        if self.service.faults.outage:
            raise tornado.web.HTTPError(503, reason="outage")
        self.reply({"score": self.service.score(request)})


@click.command()
@service.port_option
@click.option("--quality", multiple=True, help="MODEL[:VERSION]=QUALITY")
def main(port: int, quality: tuple[str, ...]) -> None:
    """Run the rating service."""
    qualities = service.parse_quality(quality)
    service.run(Rating(qualities, Faults()), port)


if __name__ == "__main__":
    main()
