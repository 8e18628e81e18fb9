"""What a good answer in time is worth, relative to others."""

import collections.abc
import dataclasses
import fnmatch
import math

from wagtailstream_router import configuration, job, request

# An output token counts as this many prompt tokens in a request's size.
_OUTPUT_WEIGHT = 10.0
# The part of a request's credit that its size does not change, and the most
# that size multiplies its route's credit by.
_FIXED_PART = 0.3
_MAX_SIZE_FACTOR = 4.0
# The price of a prompt token relative to that of a generated token (the users'
# specification).
PROMPT_TOKEN_PRICE_RATIO = 0.25
# A derived credit is this multiple of what the route's largest model charges:
# operators offer a model for requests that are worth several times its price.
_PRICE_MULTIPLE = 10.0
# The price per 1,000 generated tokens where the configuration states none.
_DEFAULT_MODEL_PRICE = 0.1
# Each rank of priority divides a derived credit by this.
_RANK_FACTOR = 2.0
# The target time of a derived credit as it is; it grows with the square root
# of a shorter one, within bounds.
_REFERENCE_TARGET_MS = 2000.0
_MAX_TARGET_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Credits:
    """The credit that answers earn, as far as the operators state it.

    :param by_priority: the mean credit of a stream, by priority; empty to
        derive it.
    :param late_share: the part of the credit that a late answer earns.
    :param by_route: the mean credit of a route's streams, as pairs of a
        pattern of the route's name (`*`, `?`, `[]`) and the credit; the first
        that matches goes before all else.
    :param customer_factors: multiply the credit, by customer.
    """

    by_priority: tuple[float, ...] = ()
    late_share: float = 0.2
    by_route: tuple[tuple[str, float], ...] = ()
    customer_factors: collections.abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )

    def of_route(self, name: str, priority: int) -> float | None:
        """Return the mean credit of a route's requests; None to derive it.

        Priorities beyond the table get its last value.
        """
        for pattern, credit in self.by_route:
            if fnmatch.fnmatchcase(name, pattern):
                return credit
        if not self.by_priority:
            return None
        place = min(max(priority, 0), len(self.by_priority) - 1)
        return self.by_priority[place]

    def of_customer(self, name: str) -> float:
        """Return the factor of a customer; 1 if none is stated."""
        return self.customer_factors.get(name, 1.0)


class Appraiser:
    """Tells the credit of requests, by the moving mean of routes' sizes."""

    # Weight of the newest request: averages over about the last fifty.
    _NEWEST_WEIGHT = 0.02

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def appraise(self, credits_: Credits, task: job.Job) -> float:
        """Return the credit of a good answer in time.

        The request's size is added to its route's mean first.
        """
        size = measure_size(task.call)
        mean = self._update_mean(task.route.name, size)
        credit = credits_.of_route(task.route.name, task.priority)
        if credit is None:
            credit = derive_credit(
                task.route, mean, task.priority, task.model_costs
            )
        if task.tenant is not None:
            credit *= credits_.of_customer(task.tenant.name)
        relative_size = size / mean if mean else 1.0
        factor = _FIXED_PART + (1.0 - _FIXED_PART) * relative_size
        return credit * min(factor, _MAX_SIZE_FACTOR)

    def _update_mean(self, route: str, size: float) -> float:
        mean = self._means.get(route, size)
        mean += self._NEWEST_WEIGHT * (size - mean)
        self._means[route] = mean
        return mean


def measure_size(call: request.Request) -> float:
    """Return a request's size: its prompt and weighted output tokens."""
    return call.prompt_tokens + _OUTPUT_WEIGHT * call.max_output_tokens


def derive_credit(
    route: configuration.Route,
    mean_size: float,
    priority: int,
    model_costs: collections.abc.Mapping[str, float],
) -> float:
    """Return a route's mean credit where the operators state none.

    :param mean_size: the mean size of the route's requests.
    :param model_costs: price per 1,000 generated tokens, by model.
    """
    largest = route.sizes[-1] if route.sizes else ""
    price = model_costs.get(largest, 0.0) or _DEFAULT_MODEL_PRICE
    charged = mean_size * PROMPT_TOKEN_PRICE_RATIO * price / 1000.0
    credit = _PRICE_MULTIPLE * charged / _RANK_FACTOR ** max(priority, 0)
    return credit * _target_factor(route.target_ms)


def paid_tokens(call: request.Request) -> float:
    """Return the tokens that a model charges for, as generated tokens.

    A prompt token counts as a fraction of a generated one.
    """
    output = call.expected_output_tokens or call.max_output_tokens
    return output + PROMPT_TOKEN_PRICE_RATIO * call.prompt_tokens


def _target_factor(target_ms: float) -> float:
    if target_ms <= 0.0:
        return 1.0
    factor = math.sqrt(_REFERENCE_TARGET_MS / target_ms)
    return min(max(factor, 1.0 / _MAX_TARGET_FACTOR), _MAX_TARGET_FACTOR)
