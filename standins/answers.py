"""Deterministic answers of the engine stand-in, derived from the prompt."""

import re

import xxhash

GARBLED_PREFIX = "garbled"
MIN_TOKENS = 8
TOKEN_SPREAD = 25
WORDS = (
    "harbour", "tide", "ledger", "sheet", "draft", "north", "signal",
    "copper", "river", "stone", "window", "paper", "morning", "field",
    "anchor", "market",
)  # fmt: skip

_TOKENS_MARKER = re.compile(r"\[tokens=(\d+)\]")


def count_answer_tokens(prompt: str, max_tokens: int) -> int:
    """Return the token count of the answer to a prompt.

    A ``[tokens=N]`` marker in the prompt sets it; otherwise it follows from
    the prompt's hash.
    """
    marker = _TOKENS_MARKER.search(prompt)
    if marker:
        return min(max_tokens, int(marker.group(1)))
    spread = xxhash.xxh64_intdigest(prompt.encode()) % TOKEN_SPREAD
    return min(max_tokens, MIN_TOKENS + spread)


def make_token(
    model: str, version: str, prompt: str, index: int, garbled: bool
) -> str:
    """Return the token at an index; the first names model and version."""
    text = f"{model}\0{version}\0{prompt}\0{index}"
    word = WORDS[xxhash.xxh64_intdigest(text.encode()) % len(WORDS)]
    if garbled:
        word = f"{GARBLED_PREFIX}-{word}"
    prefix = f"{model}@{version}:" if index == 0 else ""
    return f"{prefix}{word} "


def is_below_quality(
    model: str, version: str, prompt: str, quality: float
) -> bool:
    """Return whether a version answers this prompt badly.

    :param quality: share of the prompts that the version answers well,
        from 0 to 1; the prompt's hash decides which.
    """
    text = f"quality\0{model}\0{version}\0{prompt}"
    return xxhash.xxh64_intdigest(text.encode()) / 2**64 >= quality
