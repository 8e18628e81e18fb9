"""Answers that end anywhere are never taken for whole ones."""

import collections.abc

import pytest

from tests.router import test_cut_answers as cuts
from wagtailstream_agent import engine, plain_service
from wagtailstream_core import errors, work
from wagtailstream_runtime import log_client

SERVICE_WORK = work.ServiceWork("registry", "read", "GET", b"")
MODEL_WORK = work.ModelWork("drafter", "v1", "prompt", 10)


@pytest.fixture
async def server() -> collections.abc.AsyncIterator[cuts.CuttingServer]:
    cutting = cuts.CuttingServer()
    await cutting.start()
    yield cutting
    await cutting.close()


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("answer", [cuts.WITH_LENGTH, cuts.CHUNKED])
async def test_a_framed_answer_of_a_service_cut_at_any_byte_is_broken(
    server: cuts.CuttingServer, answer: bytes, is_reset: bool
) -> None:
    server.is_reset = is_reset
    service = plain_service.HttpService(f"http://{server.address}")
    for size in range(len(answer)):
        server.answer = answer[:size]
        with pytest.raises(errors.PeerError):
            await service.call("request-1", SERVICE_WORK, 2.0)
    server.answer = answer
    whole = await service.call("request-1", SERVICE_WORK, 2.0)
    assert whole.body == cuts.BODY


# Guards against MIXED: the agent took what had come before a reset for a whole
# answer, where it had neither a length nor chunks.
@pytest.mark.parametrize("is_reset", [False, True])
async def test_an_unframed_answer_of_a_service_cut_by_a_reset_is_broken(
    server: cuts.CuttingServer, is_reset: bool
) -> None:
    server.is_reset = is_reset
    service = plain_service.HttpService(f"http://{server.address}")
    head_size = cuts.UNFRAMED.index(b"\r\n\r\n") + 4
    for size in range(len(cuts.UNFRAMED) + 1 if is_reset else head_size):
        server.answer = cuts.UNFRAMED[:size]
        with pytest.raises(errors.PeerError):
            await service.call("request-1", SERVICE_WORK, 2.0)
    server.is_reset = False
    server.answer = cuts.UNFRAMED
    whole = await service.call("request-1", SERVICE_WORK, 2.0)
    assert whole.body == cuts.BODY


def make_attempt() -> work.Attempt:
    return work.Attempt("request-1", 1, "customer", 0, 0.0, 1, MODEL_WORK)


async def generate(model: engine.HttpEngine) -> None:
    """Read a generation that must not seem to end."""
    async for item in model.generate(make_attempt(), MODEL_WORK):
        assert not isinstance(item, engine.Done)


async def test_a_generation_cut_at_any_byte_has_no_end(
    server: cuts.CuttingServer,
) -> None:
    lines = (
        b'{"index": 0, "token": "a"}\n'
        b'{"done": true, "count": 1, "prompt_tokens": 1}\n'
    )
    head = b"HTTP/1.1 200 OK\r\n\r\n"
    model = engine.HttpEngine(f"http://{server.address}")
    for size in range(len(head) + len(lines)):
        server.answer = (head + lines)[:size]
        with pytest.raises(errors.PeerError):
            await generate(model)


@pytest.mark.parametrize("is_reset", [False, True])
async def test_an_answer_of_the_log_cut_at_any_byte_is_no_answer(
    server: cuts.CuttingServer, is_reset: bool
) -> None:
    body = b'{"first": 0, "next": 0, "records": []}'
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
        len(body),
        body,
    )
    server.is_reset = is_reset
    log = log_client.HttpLogClient(f"http://{server.address}")
    for size in range(len(whole)):
        server.answer = whole[:size]
        with pytest.raises(errors.LogUnavailableError):
            await log.read("config", 0)
        with pytest.raises(errors.AppendUncertainError):
            await log.append("config", b"x")
    log.close()
