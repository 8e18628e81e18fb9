"""Orders attempts inside an engine by the priority that is sent with them."""

from wagtailstream_router import configuration

# The highest value of the priority header; 0 is served first.
MAX_PRIORITY = 9
# Steps that each rank has: short work first, then long work.
STEPS_PER_RANK = 2


def find_priority(
    rank: int, route: configuration.Route, model: str, is_resumed: bool
) -> int:
    """Return the priority of an attempt at an engine, 0 to `MAX_PRIORITY`.

    Within a rank, answers of the smallest model and streams that have begun
    come before larger models. It answers the load of engines near their
    capacity, where a short prompt waits behind prompts ten times as long.

    :param rank: the request's priority; 0 is the highest.
    :param model: the model that is asked.
    :param is_resumed: whether the caller has received part of the answer.
    """
    is_long = bool(route.sizes) and model != route.sizes[0] and not is_resumed
    step = max(rank, 0) * STEPS_PER_RANK + int(is_long)
    return min(step, MAX_PRIORITY)
