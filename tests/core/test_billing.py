"""The bill fold against a naive model that keeps every record."""

import hypothesis
import hypothesis.strategies as st

from wagtailstream_core import billing

COSTS = st.builds(
    billing.AttemptCost,
    attempt=st.integers(0, 2),
    endpoint=st.sampled_from(["a", "b"]),
    prompt_tokens=st.integers(0, 3),
    answer_tokens=st.integers(0, 3),
)
BILLS = st.builds(
    billing.Bill,
    customer=st.sampled_from(["x", "y"]),
    request_id=st.sampled_from(["1", "2"]),
    attempts=st.lists(COSTS, max_size=3).map(tuple),
)


def fold_all(bills: list[billing.Bill]) -> dict[billing.BillKey, billing.Bill]:
    fold = billing.BillFold()
    for bill in bills:
        fold.fold(bill)
    found = {key: fold.find_bill(key) for key in fold.keys}
    return {key: bill for key, bill in found.items() if bill is not None}


def bill_naively(
    bills: list[billing.Bill],
) -> dict[billing.BillKey, dict[int, tuple[str, int, int]]]:
    """Return the merged costs of each attempt from the whole history."""
    naive = {}
    for key in {billing.BillKey(b.customer, b.request_id) for b in bills}:
        costs = [
            cost
            for bill in bills
            if (bill.customer, bill.request_id)
            == (key.customer, key.request_id)
            for cost in bill.attempts
        ]
        naive[key] = {
            number: (
                min(c.endpoint for c in costs if c.attempt == number),
                max(c.prompt_tokens for c in costs if c.attempt == number),
                max(c.answer_tokens for c in costs if c.attempt == number),
            )
            for number in {cost.attempt for cost in costs}
        }
    return naive


@hypothesis.settings(derandomize=True)
@hypothesis.given(st.lists(BILLS), st.randoms(use_true_random=False))
def test_fold_agrees_with_naive_in_any_order(bills, rng) -> None:  # type: ignore[no-untyped-def]
    naive = bill_naively(bills)
    shuffled = bills + rng.sample(bills, len(bills) // 2)
    rng.shuffle(shuffled)
    for history in (bills, shuffled):
        found = {
            key: {
                cost.attempt: (
                    cost.endpoint,
                    cost.prompt_tokens,
                    cost.answer_tokens,
                )
                for cost in bill.attempts
            }
            for key, bill in fold_all(history).items()
        }
        assert found == naive


@hypothesis.settings(derandomize=True)
@hypothesis.given(st.lists(BILLS))
def test_batch_survives_its_encoding(bills: list[billing.Bill]) -> None:
    assert billing.decode_batch(billing.encode_batch(bills)) == tuple(bills)
