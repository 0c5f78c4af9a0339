"""The catalogue: how readings of the platform's list change it."""

import msgspec
import pytest

from nettledeal.common.errors import ServingError
from nettledeal.discovery.catalogue import (
    Backend,
    BackendState,
    Catalogue,
    decode_backend,
    encode_backend,
    parse_page,
)


def backend(backend_id="i-1", **fields):
    return Backend(backend_id, "svc", "10.0.0.1:80", "z1", **fields)


def entry_json(**fields):
    return {
        "id": "i-1",
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "capacity": 3,
        "state": "ready",
        "warmup_left_ms": 0,
        **fields,
    }


def test_an_encoded_entry_is_decoded_unchanged():
    entry = backend(capacity=8, state=BackendState.DRAINING, warmup_left_ms=12.5, remaining_ms=80.0)
    assert decode_backend(encode_backend(entry)) == entry


def test_an_undecodable_entry_raises_a_serving_error():
    with pytest.raises(ServingError):
        decode_backend(b"\xff")


@pytest.mark.parametrize(
    "bad",
    [
        {"id": 7, "service": "s"},
        "nonsense",
        None,
        entry_json(state="unheard"),
        entry_json(address="nowhere"),
        entry_json(id=""),
        entry_json(capacity="many"),
    ],
)
def test_an_unreadable_entry_does_not_affect_others(bad):
    body = msgspec.json.encode({"instances": [bad, entry_json(id="i-2")], "next_page_token": "p"})
    backends, token, unreadable = parse_page(body)
    assert [found.id for found in backends] == ["i-2"]
    assert (token, unreadable) == ("p", 1)


def test_unknown_fields_are_ignored():
    body = msgspec.json.encode({"instances": [entry_json(novel=[1])], "next_page_token": None, "more": 1})
    backends, token, unreadable = parse_page(body)
    assert (len(backends), token, unreadable) == (1, None, 0)


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff", b'{"instances": 3}'])
def test_an_invalid_page_raises_a_serving_error(body):
    with pytest.raises(ServingError):
        parse_page(body)


def test_an_elapsing_countdown_is_not_a_change():
    catalogue = Catalogue()
    assert catalogue.apply([backend(warmup_left_ms=3000)], 10.0, complete=True)
    first = catalogue.entries()
    assert not catalogue.apply([backend(warmup_left_ms=2000)], 11.1, complete=True)
    assert catalogue.entries() == first


def test_the_end_and_restart_of_a_warmup_are_changes():
    catalogue = Catalogue()
    catalogue.apply([backend(warmup_left_ms=3000)], 10.0, complete=True)
    assert catalogue.apply([backend(warmup_left_ms=0)], 13.2, complete=True)
    assert not catalogue.apply([backend(warmup_left_ms=0)], 14.2, complete=True)
    assert catalogue.apply([backend(warmup_left_ms=3000)], 20.0, complete=True)
    # Restarted before it has elapsed.
    assert catalogue.apply([backend(warmup_left_ms=3000)], 22.0, complete=True)
    assert decode_backend(catalogue.entries()["i-1"]).warmup_left_ms == 3000


def test_a_countdown_that_stands_still_is_a_change_beyond_the_tolerance():
    catalogue = Catalogue()
    catalogue.apply([backend(warmup_left_ms=3000)], 10.0, complete=True)
    assert not catalogue.apply([backend(warmup_left_ms=3000)], 10.3, complete=True)
    assert catalogue.apply([backend(warmup_left_ms=3000)], 10.8, complete=True)


def test_draining_is_a_change_and_its_countdown_is_not():
    catalogue = Catalogue()
    catalogue.apply([backend()], 1.0, complete=True)
    draining = backend(state=BackendState.DRAINING, remaining_ms=2000)
    assert catalogue.apply([draining], 2.0, complete=True)
    later = msgspec.structs.replace(draining, remaining_ms=1000)
    assert not catalogue.apply([later], 3.0, complete=True)


def test_an_incomplete_reading_removes_nothing_and_adds_what_it_read():
    catalogue = Catalogue()
    catalogue.apply([backend("a"), backend("b")], 1.0, complete=True)
    catalogue.apply([backend("c")], 2.0, complete=False)
    assert set(catalogue.entries()) == {"a", "b", "c"}


def test_a_backend_missing_from_a_single_page_list_is_removed():
    catalogue = Catalogue()
    catalogue.apply([backend("a"), backend("b")], 1.0, complete=True)
    assert catalogue.apply([backend("a")], 2.0, complete=True)
    assert set(catalogue.entries()) == {"a"}


def test_a_backend_missing_once_from_a_paged_list_stays():
    catalogue = Catalogue()
    catalogue.apply([backend("a"), backend("b")], 1.0, complete=True, pages=2)
    assert not catalogue.apply([backend("a")], 2.0, complete=True, pages=2)
    assert not catalogue.apply([backend("a"), backend("b")], 3.0, complete=True, pages=2)
    assert not catalogue.apply([backend("a")], 4.0, complete=True, pages=2)
    assert catalogue.apply([backend("a")], 5.0, complete=True, pages=2)
    assert set(catalogue.entries()) == {"a"}


def test_an_empty_list_must_be_read_twice():
    catalogue = Catalogue()
    catalogue.apply([backend("a")], 1.0, complete=True)
    assert not catalogue.apply([], 2.0, complete=True)
    assert catalogue.apply([], 3.0, complete=True)
