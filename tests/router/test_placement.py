"""Where an attempt goes, by work, load and what servers keep."""

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
    support.decode_call("request-1"),
    parts=(
        request.PromptPart("shared", 13_000),
        request.PromptPart("own", 2_000),
    ),
    prompt_tokens=15_000,
)
ROUTE = support.decode_route("stream")
MODEL = support.SIZES[-1]


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


def choose(
    members: list[directory.Member], warm: warm_prompts.WarmPrompts
) -> placement.Estimate:
    chosen = placement.choose_engine(members, ROUTE, MODEL, CALL, warm)
    assert chosen is not None
    return chosen


def test_prompts_that_share_their_beginning_go_to_one_server() -> None:
    members = [make_member(f"e{number}") for number in range(4)]
    warm = warm_prompts.WarmPrompts()
    first = choose(members, warm).member
    assert choose(members[::-1], warm).member is first


def test_a_server_with_many_under_way_is_spared() -> None:
    members = [make_member(f"e{number}") for number in range(4)]
    warm = warm_prompts.WarmPrompts()
    busy = choose(members, warm).member
    busy.in_flight = 20
    assert choose(members, warm).member is not busy
    busy.in_flight = 0
    busy.peer_in_flight = 20
    assert choose(members, warm).member is not busy


def test_a_kept_prompt_outweighs_a_little_load() -> None:
    members = [make_member(f"e{number}") for number in range(4)]
    warm = warm_prompts.WarmPrompts()
    keeper = members[0]
    warm.note(keeper.identity, MODEL, CALL)
    keeper.in_flight = 3
    assert choose(members, warm).member is keeper
