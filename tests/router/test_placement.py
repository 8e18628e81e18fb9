"""Choice of a model server by work, load and cached prompts."""

import dataclasses

from tests.router import support
from wagtailstream_router import (
    directory,
    endpoint,
    placement,
    request,
    warm_prompts,
)

CALL = dataclasses.replace(
    support.make_stream_request("request-1"),
    parts=(
        request.PromptPart("shared", 13_000),
        request.PromptPart("own", 2_000),
    ),
    prompt_tokens=15_000,
)
ROUTE = support.get_route("stream")
MODEL = support.MODELS[-1]


def make_member(identity: str) -> directory.Member:
    return directory.Member(
        endpoint.Endpoint(
            identity=identity,
            service="engine",
            address="10.0.0.1:80",
            zone="zone-1",
            version="v1",
            slots=8,
            state=endpoint.EndpointState.READY,
            cold_ms=0.0,
            models=(),
            born_ms=1,
        )
    )


def choose_server(
    members: list[directory.Member], warm: warm_prompts.WarmPrompts
) -> placement.Estimate:
    chosen = placement.choose_engine(members, ROUTE, MODEL, CALL, warm)
    assert chosen is not None
    return chosen


def test_prompts_with_a_shared_prefix_go_to_one_server() -> None:
    members = [make_member(f"e{number}") for number in range(4)]
    warm = warm_prompts.WarmPrompts()
    first = choose_server(members, warm).member
    assert choose_server(members[::-1], warm).member is first


def test_a_busy_server_is_avoided() -> None:
    members = [make_member(f"e{number}") for number in range(4)]
    warm = warm_prompts.WarmPrompts()
    busy = choose_server(members, warm).member
    busy.in_flight = 20
    assert choose_server(members, warm).member is not busy
    busy.in_flight = 0
    busy.peer_in_flight = 20
    assert choose_server(members, warm).member is not busy


def test_a_cached_prompt_outweighs_a_small_load() -> None:
    members = [make_member(f"e{number}") for number in range(4)]
    warm = warm_prompts.WarmPrompts()
    cached = members[0]
    warm.record(cached.identity, MODEL, CALL)
    cached.in_flight = 3
    assert choose_server(members, warm).member is cached
