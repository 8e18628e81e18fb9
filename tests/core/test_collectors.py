"""The choice of collectors, and the records that they join."""

import pytest

from wagtailstream_core import billing, collectors, errors, ledger

AGENTS = [f"10.0.0.{n}:7000" for n in range(100)]


def make_bill(number: int) -> billing.Bill:
    cost = billing.AttemptCost(attempt=0, endpoint="e")
    return billing.Bill(customer="c", request_id=str(number), attempts=(cost,))


def test_chosen_collectors_do_not_depend_on_the_order_of_names() -> None:
    chosen = collectors.choose_collectors(AGENTS, 8)
    assert collectors.choose_collectors(reversed(AGENTS), 8) == chosen
    assert len(set(chosen)) == 8


def test_loss_of_a_collector_moves_only_its_senders() -> None:
    chosen = collectors.choose_collectors(AGENTS, 8)
    senders = [f"entry-{n}" for n in range(400)]
    before = {
        s: collectors.choose_for_sender(s, chosen, [], 0.0) for s in senders
    }
    lost = [collectors.FailedCollector(chosen[0], until=5.0)]
    after = {
        s: collectors.choose_for_sender(s, chosen, lost, 1.0) for s in senders
    }
    moved = {s for s in senders if before[s] != after[s]}
    assert moved == {s for s in senders if before[s] == chosen[0]}
    assert 20 < len(moved) < 90
    again = collectors.choose_for_sender(senders[0], chosen, lost, 5.0)
    assert again == before[senders[0]]


def test_joined_record_holds_everything_in_order() -> None:
    payloads = [billing.encode_batch([make_bill(n)]) for n in range(3)]
    joined = collectors.join_payloads(billing.STREAM, payloads)
    bills = billing.decode_batch(joined)
    assert [bill.request_id for bill in bills] == ["0", "1", "2"]
    abandonments = [
        ledger.Abandonment(
            customer="c", service="s", idempotency_key=str(n), claim_id="x"
        )
        for n in range(2)
    ]
    stream = ledger.stream_name("s")
    ledger_payloads = [ledger.encode_batch([e]) for e in abandonments]
    joined = collectors.join_payloads(stream, ledger_payloads)
    assert list(ledger.decode_batch(joined)) == abandonments


@pytest.mark.parametrize(
    ("stream", "payload"), [("config", b"{}"), (billing.STREAM, b"nonsense")]
)
def test_other_streams_and_malformed_payloads_are_rejected(
    stream: str, payload: bytes
) -> None:
    with pytest.raises(errors.WagtailstreamError):
        collectors.check_payload(stream, payload)
