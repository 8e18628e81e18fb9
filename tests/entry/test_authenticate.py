"""Looking up a customer by API key: known, unknown and malformed keys.

Customers hold hashes of their keys; a hash itself is not accepted as a key.
"""

import pytest

from wagtailstream_core import bundle
from wagtailstream_entry.filters import authenticate

KEYS = ("key-a", "key-b", "key-c")


def make_bundle() -> bundle.Bundle:
    customers = [
        {
            "name": f"customer-{key}",
            "key_hashes": [bundle.hash_key(key), bundle.hash_key(f"{key}-2")],
            "services": ["registry"],
        }
        for key in KEYS
    ]
    return bundle.parse(
        {"name": "b", "data_centres": ["brest"], "customers": customers}, "b"
    )


@pytest.mark.parametrize("key", KEYS)
@pytest.mark.parametrize("suffix", ["", "-2"])
def test_each_key_finds_its_customer(key: str, suffix: str) -> None:
    found = authenticate.find_customer(f"Bearer {key}{suffix}", make_bundle())
    assert found is not None
    assert found.name == f"customer-{key}"


@pytest.mark.parametrize(
    "header",
    [
        "",
        "Bearer",
        "Bearer ",
        "Basic key-a",
        "key-a",
        "Bearer key-",
        "Bearer key-aa",
        "Bearer " + "k" * 5000,
        f"Bearer {bundle.hash_key('key-a')}",
        "Bearer clé",
    ],
)
def test_other_headers_find_no_customer(header: str) -> None:
    assert authenticate.find_customer(header, make_bundle()) is None
