"""Generates seeded workloads modelled on the users Kerlann and Gulfmark."""

import dataclasses
import random

BROKER_PRIORITY = 10
BUYER_PRIORITY = 0
# Mean lengths of the alternating bursts and quiet periods.
BURST_SECONDS = 5.0
QUIET_SECONDS = 25.0
BURST_FACTOR = 2.5


@dataclasses.dataclass(frozen=True)
class Request:
    """The properties of a request that routing decisions depend on.

    :param arrives_at: seconds since the start.
    :param prefix: the hash of the shared prefix that the prompt starts with.
    :param prefix_tokens: the length of that prefix.
    :param prompt_tokens: the length of the whole prompt, with the prefix.
    :param deadline: seconds since the start.
    """

    number: int
    arrives_at: float
    customer: str
    session: int
    prefix: int
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int
    priority: int
    deadline: float


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """A class of requests with the same priority and typical lengths.

    :param share: the fraction of all requests that are of this class.
    :param prefix_tokens: the length of a shared prefix.
    :param own_tokens: the mean length of the prompt after the prefix.
    :param output_tokens: the mean length of the answer.
    :param patience_seconds: the time from arrival to the deadline.
    """

    name: str
    share: float
    priority: int
    prefix_tokens: int
    own_tokens: int
    output_tokens: int
    patience_seconds: float


@dataclasses.dataclass(frozen=True)
class Shape:
    """The size of a deployment and the composition of its traffic.

    :param data_centres: the number of data centres.
    :param engines: the number of model servers.
    :param customers: the number of customers; the first ones are the largest.
    :param prefixes_per_customer: the number of prompt prefixes (templates,
        catalogs or dossiers) that a customer uses for each class of request.
    :param turns: the mean number of requests in a session.
    """

    name: str
    data_centres: int
    engines: int
    customers: int
    prefixes_per_customer: int
    turns: float
    classes: tuple[RequestClass, ...]


KERLANN = Shape(
    "kerlann",
    data_centres=3,
    engines=5,
    customers=10,
    prefixes_per_customer=6,
    turns=4.0,
    classes=(
        RequestClass("certificate", 0.5, 5, 1200, 300, 80, 20.0),
        RequestClass("dossier", 0.2, 0, 800, 3000, 150, 60.0),
        RequestClass("question", 0.3, 0, 600, 100, 60, 20.0),
    ),
)

GULFMARK = Shape(
    "gulfmark",
    data_centres=3,
    engines=6,
    customers=10,
    prefixes_per_customer=4,
    turns=3.0,
    classes=(
        RequestClass("broker", 0.25, BROKER_PRIORITY, 500, 80, 30, 5.0),
        RequestClass("letter", 0.35, BUYER_PRIORITY, 1500, 300, 160, 60.0),
        RequestClass("compare", 0.40, BUYER_PRIORITY, 1500, 500, 90, 30.0),
    ),
)

SHAPES = (KERLANN, GULFMARK)


def make_customer_weights(count: int) -> list[float]:
    """Return the customers' shares of the traffic, by Zipf's law.

    :param count: the number of customers.
    """
    raw = [1.0 / (rank + 1) for rank in range(count)]
    return [weight / sum(raw) for weight in raw]


def generate(
    shape: Shape, rate: float, seconds: float, rng: random.Random
) -> list[Request]:
    """Return the requests of a period, in the order of arrival.

    Bursts start at random and have ``BURST_FACTOR`` times the arrival rate of
    quiet periods; the long-term mean is ``rate``.

    :param shape: the deployment.
    :param rate: the mean number of requests per second.
    :param seconds: the length of the period.
    :param rng: the generator for all random draws.
    """
    weights = make_customer_weights(shape.customers)
    sessions = _Sessions(shape, rng)
    requests = []
    for number, time in enumerate(_draw_arrivals(rate, seconds, rng)):
        customer = rng.choices(range(shape.customers), weights)[0]
        request_class = rng.choices(
            shape.classes, [c.share for c in shape.classes]
        )[0]
        session, prefix = sessions.draw(customer, request_class.name)
        requests.append(
            Request(
                number,
                time,
                f"customer-{customer}",
                session,
                prefix,
                request_class.prefix_tokens,
                request_class.prefix_tokens
                + _draw_length(request_class.own_tokens, rng),
                _draw_length(request_class.output_tokens, rng),
                request_class.priority,
                time + request_class.patience_seconds,
            )
        )
    return requests


def _draw_length(mean: int, rng: random.Random) -> int:
    # The mean of this lognormal distribution is 1.2.
    return max(1, round(rng.lognormvariate(0.0, 0.6) * mean / 1.2))


def _draw_arrivals(
    rate: float, seconds: float, rng: random.Random
) -> list[float]:
    burst_share = BURST_SECONDS / (BURST_SECONDS + QUIET_SECONDS)
    quiet_rate = rate / (1.0 + burst_share * (BURST_FACTOR - 1.0))
    times: list[float] = []
    now, is_burst = 0.0, False
    phase_end = rng.expovariate(1.0 / QUIET_SECONDS)
    while now < seconds:
        current_rate = quiet_rate * (BURST_FACTOR if is_burst else 1.0)
        step = rng.expovariate(current_rate)
        if now + step > phase_end:
            now = phase_end
            is_burst = not is_burst
            mean_seconds = BURST_SECONDS if is_burst else QUIET_SECONDS
            phase_end = now + rng.expovariate(1.0 / mean_seconds)
            continue
        now += step
        times.append(now)
    return [time for time in times if time < seconds]


class _Sessions:
    """Assigns requests to sessions; a session keeps its prefix."""

    def __init__(self, shape: Shape, rng: random.Random) -> None:
        self._shape = shape
        self._rng = rng
        self._count = 0
        self._current: dict[tuple[int, str], tuple[int, int]] = {}

    def draw(self, customer: int, class_name: str) -> tuple[int, int]:
        """Return the session and prefix of a customer's next request.

        :param customer: the customer's number.
        :param class_name: the name of the request's class.
        """
        key = (customer, class_name)
        if (
            key in self._current
            and self._rng.random() > 1.0 / self._shape.turns
        ):
            return self._current[key]
        self._count += 1
        template = self._rng.randrange(self._shape.prefixes_per_customer)
        prefix = (
            hash((customer, _hash_name(class_name), template)) & 0xFFFFFFFF
        )
        self._current[key] = (self._count, prefix)
        return self._current[key]


def _hash_name(name: str) -> int:
    # hash() of a string differs from process to process.
    return sum(ord(letter) << (index % 8) for index, letter in enumerate(name))
