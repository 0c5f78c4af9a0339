"""Keys: sealed for regions, opened by these only, and shown nowhere."""

import stat
import subprocess
import sys

import eliot
import pytest

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.tenancy.identity import is_name, token_digest, token_matches
from nettledeal.tenancy.keys import KeyRing, SealedKey, TenantKey, encode_key
from nettledeal.tenancy.sealing import is_public_key, make_region_key, make_sealed_key, region_opener
from nettledeal_simulations.tenant_world import region_keys

TENANT_KEY = "tenant-key/fund"


def ring(region="north"):
    return KeyRing(region, region_keys().openers[region])


def entries(key):
    return {TENANT_KEY: encode_key(key)}


def test_a_key_is_opened_in_its_regions_only():
    key = make_sealed_key(1, {"north": region_keys().public["north"]})
    there, elsewhere = ring("north"), ring("south")
    for keys in (there, elsewhere):
        keys.apply(["fund"], entries(key))
    assert there.get("fund").generation == 1
    assert elsewhere.get("fund") is None
    with pytest.raises(ServingError) as error:
        region_keys().openers["south"](key.sealed["north"])
    assert error.value.code is ErrorCode.FOREIGN_DATA


def test_regions_share_a_key():
    key = make_sealed_key(1, dict(region_keys().public))
    north, south = ring("north"), ring("south")
    for keys in (north, south):
        keys.apply(["fund"], entries(key))
    assert north.get("fund").lookup_id("01") == south.get("fund").lookup_id("01")


@pytest.mark.parametrize("sealed", [b"", b"short", b"x" * 80])
def test_a_key_that_cannot_be_opened_is_no_key(sealed):
    keys = ring()
    keys.apply(["fund"], entries(SealedKey(1, {"north": sealed})))
    assert keys.get("fund") is None


def test_an_entry_that_cannot_be_read_is_no_key_and_the_last_one_is_forgotten():
    keys = ring()
    keys.apply(["fund"], entries(make_sealed_key(1, dict(region_keys().public))))
    assert keys.get("fund") is not None
    keys.apply(["fund"], {TENANT_KEY: b"\xc1"})
    assert keys.get("fund") is None


def test_a_key_goes_with_its_tenant_or_its_entry():
    keys = ring()
    held = entries(make_sealed_key(1, dict(region_keys().public)))
    keys.apply(["fund"], held)
    keys.apply([], held)
    assert keys.get("fund") is None
    keys.apply(["fund"], held)
    assert keys.get("fund") is not None
    keys.apply(["fund"], {})
    assert keys.get("fund") is None


def test_keys_are_neither_shown_nor_logged():
    secret = b"\x5a" * 32
    assert "5a" not in repr(TenantKey(7, secret)) and "Z" not in repr(TenantKey(7, secret))
    events = []
    eliot.add_destinations(events.append)
    try:
        keys = ring()
        keys.apply(["fund"], entries(SealedKey(3, {"north": b"q" * 80})))
        keys.apply(["fund"], {TENANT_KEY: b"\xc1"})
    finally:
        eliot.remove_destination(events.append)
    text = repr(events)
    assert "key_not_opened" in text and "key_unreadable" in text
    assert "qqq" not in text


def test_a_region_s_private_key_is_its_owner_s_to_read(tmp_path):
    path = tmp_path / "north"
    assert is_public_key(make_region_key(path))
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    with pytest.raises(FileExistsError):
        make_region_key(path)


@pytest.mark.parametrize("text", ["", "zz", "00" * 31])
def test_a_file_without_a_private_key_is_named_and_not_quoted(tmp_path, text):
    path = tmp_path / "north"
    path.write_text(text)
    with pytest.raises(ServingError) as error:
        region_opener(path)
    assert error.value.code is ErrorCode.INVALID_SETTINGS
    assert not text or text not in str(error.value)


def test_names_and_tokens():
    assert is_name("a") and is_name("a-1") and is_name("a" * 63)
    for text in ("", "-a", "a-", "A", "a b", "a" * 64, "a\n", "æ"):
        assert not is_name(text)
    digests = [token_digest(b"one"), token_digest(b"two")]
    assert token_matches(b"one", digests) and token_matches(b"two", digests)
    assert not token_matches(b"three", digests) and not token_matches(b"", [])


def test_a_program_without_tenants_loads_nothing_of_them():
    text = (
        "import sys\n"
        "import nettledeal.programs.data_plane, nettledeal.programs.control_plane\n"
        "own = [name for name in sys.modules if 'tenan' in name]\n"
        "loaded = own + [name for name in sys.modules if name.split('.')[0] in ('nacl', 'cffi', 'hmac')]\n"
        "sys.exit(' '.join(loaded) or 0)\n"
    )
    path = [entry for entry in sys.path if entry]
    ran = subprocess.run(
        [sys.executable, "-c", f"import sys; sys.path[:0] = {path!r}\n{text}"], capture_output=True, text=True
    )
    assert (ran.returncode, ran.stderr) == (0, "")
