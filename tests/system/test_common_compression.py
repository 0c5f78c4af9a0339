"""Large configurations are stored and replicated compressed, and come back unchanged."""

import zlib

import pytest

from nettledeal.common.compression import MIN_BYTES, compress, expand, pack_json, unpack_json
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.control.decisions import decide
from nettledeal.control.state import CONFIGURATION_KEY, ControlState, Outcome, PutConfiguration
from nettledeal.distribution.control_source import control_entries
from tests.system.operator_api_support import make_body, make_route

LARGE = make_body(7, routes=[make_route(path_prefix=f"/p{number}/") for number in range(400)])


@pytest.mark.parametrize("text", [b"", b"{}", b" {}\n", make_body(7), LARGE, b"[" * (MIN_BYTES + 1)])
def test_a_text_comes_back_unchanged(text):
    assert unpack_json(pack_json(text)) == text


def test_only_large_texts_are_compressed():
    assert pack_json(make_body(7)) == make_body(7)
    assert len(pack_json(LARGE)) < len(LARGE) / 5


def test_a_text_that_was_stored_as_it_is_can_be_read():
    assert unpack_json(LARGE) == LARGE


@pytest.mark.parametrize("stored", [b"x", b"x\x9c\x00", compress(LARGE)[:-1], zlib.compress(bytes(2000), 9)])
def test_what_is_damaged_or_too_large_is_malformed(stored):
    with pytest.raises(ServingError) as caught:
        expand(stored, "core-2", limit=1000)
    assert caught.value.code is ErrorCode.MALFORMED_MESSAGE
    assert caught.value.peer == "core-2"


def test_the_change_that_travels_to_replicas_is_small_and_the_configuration_whole():
    decision = decide(ControlState(), PutConfiguration(0, 7, b"digest", LARGE))
    assert decision.outcome is Outcome.ACCEPTED
    values = {change.key: change.value for change in decision.changes}
    assert len(values[CONFIGURATION_KEY]) < len(LARGE) / 5
    state = ControlState().after(1, decision.changes)
    assert state.configuration == LARGE
    assert len(control_entries(state.entries)) == 400 + len(("generation", "limits", "cart", "cart-2"))
