"""Streams survive faults with the complete answer of a single version.

A fault in mid-stream makes the entry resume on another endpoint. The caller
must then get the same bytes as without the fault: nothing lost, repeated or
mixed in from another version or request.
"""

import collections.abc

import pytest

from standins import fleet
from tests.integration import support

TOKENS = 120
# Numbers of pieces after which faults occur.
FIRST_FAULT = 10
SECOND_FAULT = 20
PROMPT = f"Summarise the dossier. [tokens={TOKENS}]"
# Takes about a minute at 0.1 s a token, so that two operator commands end
# long before the stream does.
LONG_PROMPT = "Summarise the dossier. [tokens=600]"
TOKEN_SECONDS = 0.01
# At this speed an engine still generates the answer for seconds when the
# caller gets the piece at which the last fault occurs.
SLOW_TOKEN_SECONDS = 0.04
ROUTED = ("drafting-1", "drafting-2")
# How an engine begins each answer of drafter, version 1.
TEXT_START = "drafter@1:"

Fault = collections.abc.Callable[[], None]


@pytest.fixture
def started() -> collections.abc.Iterator[fleet.Fleet]:
    options = fleet.Options(has_proxy=True)
    with support.run_fleet(1, options, routed=ROUTED) as running:
        support.slow_engines(running, TOKEN_SECONDS)
        yield running


def stream(
    started: fleet.Fleet,
    faults: collections.abc.Mapping[int, Fault],
    prompt: str = PROMPT,
) -> support.Answer:
    """Stream an answer and inject faults on the way.

    The engines are slow until the last fault has occurred.

    :param faults: each fault by the number of pieces after which it occurs.
    """

    def on_piece(count: int) -> None:
        if count in faults:
            faults[count]()
            if count == max(faults):
                support.slow_engines(started, TOKEN_SECONDS)

    if faults:
        support.slow_engines(started, SLOW_TOKEN_SECONDS)
    return support.chat(started.entries[0], prompt, on_piece=on_piece)


def check_whole(started: fleet.Fleet, answer: support.Answer) -> None:
    """Check that an answer equals one without faults, byte for byte."""
    for name in ROUTED:
        started.set_route_fault(name, "pass")
    started.wait_ready()
    reference = support.chat(started.entries[0], PROMPT)
    assert reference.is_whole
    assert answer.is_whole
    assert answer.text == reference.text
    assert answer.headers["Wagtail-Version"] == "1"
    assert answer.text.count(TEXT_START) == 1


def wait_running(
    started: fleet.Fleet, lost: collections.abc.Collection[str]
) -> str:
    """Wait until an endpoint that is not lost runs the request.

    Pieces received before a fault may still be buffered, so a caller can
    reach the next fault before the entry has resumed the stream.

    :returns: the name of the endpoint.
    """
    running: set[str] = set()

    def is_running() -> bool:
        running.update(support.list_endpoints_running(started, "drafter"))
        running.difference_update(lost)
        return bool(running)

    started.wait_until(is_running, "no other engine runs the request")
    return running.pop()


def make_route_fault(started: fleet.Fleet, mode: str) -> Fault:
    def inject() -> None:
        started.set_route_fault(
            support.find_endpoint_running(started, "drafter"), mode
        )

    return inject


@pytest.mark.parametrize("mode", ["cut", "freeze", "blackhole"])
def test_connection_lost_in_the_middle(
    started: fleet.Fleet, mode: str
) -> None:
    fault = make_route_fault(started, mode)
    check_whole(started, stream(started, {FIRST_FAULT: fault}))


def test_two_connections_lost_one_after_the_other(
    started: fleet.Fleet,
) -> None:
    """Two connections break, one after the other.

    The first route accepts new connections again before the second breaks.
    """
    lost: list[str] = []

    def lose() -> None:
        lost.append(wait_running(started, lost))
        started.set_route_fault(lost[-1], "cut")
        started.set_route_fault(lost[-1], "pass")

    answer = stream(started, {FIRST_FAULT: lose, SECOND_FAULT: lose})
    assert len(set(lost)) == 2
    check_whole(started, answer)


def test_late_chunks_of_an_abandoned_attempt_are_ignored(
    started: fleet.Fleet,
) -> None:
    """Late chunks of an abandoned attempt don't change the answer.

    The entry abandons the attempt while its agent is paused and retries. Both
    attempts are billed.
    """
    paused: list[str] = []

    def pause() -> None:
        paused.append(support.find_endpoint_running(started, "drafter"))
        started.endpoints[paused[0]].agent.freeze()

    def wake() -> None:
        wait_running(started, paused)
        started.endpoints[paused[0]].agent.thaw()

    answer = stream(started, {FIRST_FAULT: pause, SECOND_FAULT: wake})
    check_whole(started, answer)
    support.wait_billed(started, answer.request_id, 2)


def test_engine_killed_in_the_middle(started: fleet.Fleet) -> None:
    def kill() -> None:
        name = support.find_endpoint_running(started, "drafter")
        started.endpoints[name].backend.kill()

    answer = stream(started, {FIRST_FAULT: kill})
    reference = support.chat(started.entries[0], PROMPT)
    assert answer.is_whole
    assert answer.text == reference.text


def test_delayed_connection_gives_the_same_answer(
    started: fleet.Fleet,
) -> None:
    for name in ROUTED:
        started.set_route_fault(name, "delay", 0.05)
    check_whole(started, stream(started, {}))


def test_never_spliced_from_two_versions(started: fleet.Fleet) -> None:
    """No other version continues the stream of a withdrawn one.

    The version is withdrawn in mid-stream, then its connection is cut.
    """
    cut = make_route_fault(started, "cut")

    def withdraw_and_cut() -> None:
        started.run_operator_command("alice", "bundle", "advance", "drafter")
        started.run_operator_command(
            "alice", "bundle", "withdraw", "drafter", "1"
        )
        cut()

    reference = support.chat(started.entries[0], LONG_PROMPT)
    for name in ROUTED:
        started.set_faults(started.endpoints[name].backend, token_seconds=0.1)
    answer = stream(started, {3: withdraw_and_cut}, LONG_PROMPT)
    assert not answer.is_whole
    assert answer.outcome == "unknown"
    assert answer.text
    assert reference.text.startswith(answer.text)


def test_concurrent_answers_are_not_mixed_up(started: fleet.Fleet) -> None:
    prompts = [f"Dossier {n}. [tokens={TOKENS}]" for n in range(6)]
    references = [support.chat(started.entries[0], p).text for p in prompts]
    fault = {FIRST_FAULT: make_route_fault(started, "cut")}
    support.slow_engines(started, SLOW_TOKEN_SECONDS)
    futures = [
        support.in_background(
            lambda p=p, f=(fault if n == 0 else {}): stream(started, f, p)
        )
        for n, p in enumerate(prompts)
    ]
    answers = [future.result() for future in futures]
    assert all(answer.is_whole for answer in answers)
    assert [answer.text for answer in answers] == references
