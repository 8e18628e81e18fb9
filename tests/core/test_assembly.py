"""The assembler with late, repeated, reordered and foreign chunks."""

import hashlib
import random

import hypothesis
import hypothesis.strategies as st
import pytest

from wagtailstream_core import assembly, errors

REQUEST = "r"


def make_end(
    attempt: int, pieces: list[bytes], start: int = 0
) -> assembly.EndMark:
    digest = hashlib.sha256(b"".join(pieces[start:])).digest()
    return assembly.EndMark(REQUEST, attempt, len(pieces), digest)


@hypothesis.settings(derandomize=True, max_examples=300)
@hypothesis.given(
    st.lists(st.binary(max_size=3), max_size=12),
    st.lists(st.integers(0, 12), max_size=3),
    st.randoms(use_true_random=False),
)
def test_disturbed_attempts_give_the_uncut_answer(
    pieces: list[bytes], cuts: list[int], rng: random.Random
) -> None:
    """Late, repeated, reordered and stray chunks over resumed attempts."""
    assembler = assembly.Assembler(REQUEST)
    released: list[bytes] = []
    strays: list[assembly.Chunk] = []
    for attempt, cut in enumerate([*cuts, None]):
        start = assembler.start_attempt(attempt)
        sent = [
            assembly.Chunk(REQUEST, attempt, index, pieces[index])
            for index in range(start, len(pieces))
        ]
        arrived = sent[:cut] if cut is not None else sent
        arrived = arrived + rng.sample(arrived, len(arrived) // 2) + strays
        if cut is not None or rng.random() < 0.5:
            rng.shuffle(arrived)
        if cut is None:
            assembler.finish(make_end(attempt, pieces, start))
            assembler.finish(make_end(attempt - 1, [b"stray"]))
        for chunk in arrived:
            released += assembler.add(chunk)
        strays += [
            assembly.Chunk(REQUEST, attempt, c.sequence, b"stray")
            for c in sent
        ] + [assembly.Chunk("other", attempt + 1, 0, b"stray")]
        assert released == pieces[: assembler.position]
    assert assembler.is_complete
    assert b"".join(released) == b"".join(pieces)


def test_changed_chunk_raises_corrupt_answer() -> None:
    assembler = assembly.Assembler(REQUEST)
    assembler.start_attempt(0)
    assembler.add(assembly.Chunk(REQUEST, 0, 0, b"changed"))
    with pytest.raises(errors.CorruptAnswerError):
        assembler.finish(make_end(0, [b"sent"]))


def test_missing_chunk_is_never_complete() -> None:
    assembler = assembly.Assembler(REQUEST)
    assembler.start_attempt(0)
    assembler.finish(make_end(0, [b"a", b"b", b"c"]))
    assembler.add(assembly.Chunk(REQUEST, 0, 0, b"a"))
    assembler.add(assembly.Chunk(REQUEST, 0, 2, b"c"))
    assert not assembler.is_complete
    assert assembler.position == 1


def test_gaps_are_bounded() -> None:
    assembler = assembly.Assembler(REQUEST)
    assembler.start_attempt(0)
    for index in range(1, assembly.MAX_OUT_OF_ORDER_CHUNKS + 1):
        assembler.add(assembly.Chunk(REQUEST, 0, index, b""))
    with pytest.raises(errors.PeerError):
        assembler.add(assembly.Chunk(REQUEST, 0, index + 1, b""))
