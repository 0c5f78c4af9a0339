from random import Random

import pytest

from nettledeal.net.protocol.bodies import (
    BodyUntilClose,
    ChunkedBody,
    MalformedMessage,
    SizedBody,
    encode_chunk,
)

MAX_BYTES = 100_000
PAYLOAD = bytes(range(256)) * 8
PARTS = [PAYLOAD[n : n + 300] for n in range(0, len(PAYLOAD), 300)]
CHUNKS = b"".join(b"%X\r\n%b\r\n" % (len(part), part) for part in PARTS)
FORMS = {
    "sized": (lambda: SizedBody(MAX_BYTES, len(PAYLOAD)), PAYLOAD, PAYLOAD, b"next"),
    "empty": (lambda: SizedBody(MAX_BYTES, 0), b"", b"", b"next"),
    "until close": (lambda: BodyUntilClose(MAX_BYTES), PAYLOAD, PAYLOAD, b""),
    "chunked": (lambda: ChunkedBody(MAX_BYTES), CHUNKS + b"0\r\n\r\n", PAYLOAD, b"next"),
    "one byte a chunk": (
        lambda: ChunkedBody(MAX_BYTES),
        b"1\r\na\r\n" * 90 + b"00\r\n\r\n",
        b"a" * 90,
        b"GET /",
    ),
    "extensions": (
        lambda: ChunkedBody(MAX_BYTES),
        b'2;a=b;c="d e"\r\nhi\r\n1 \t; x\r\n!\r\n0;z\r\n\r\n',
        b"hi!",
        b"\r\n",
    ),
    "trailers": (
        lambda: ChunkedBody(MAX_BYTES),
        b"2\r\nhi\r\n0\r\nX-Sum: 1\r\nEtag:\r\n\r\n",
        b"hi",
        b"next",
    ),
    "no chunk": (lambda: ChunkedBody(MAX_BYTES), b"0\r\n\r\n", b"", b"next"),
}


def split(text, how):
    if how == "whole":
        return [text]
    if how == "bytes":
        return [text[n : n + 1] for n in range(len(text))]
    random, pieces = Random(how), []
    while text:
        size = random.choice((1, 2, 3, 7, 60, 400))
        pieces.append(text[:size])
        text = text[size:]
    return pieces


@pytest.mark.parametrize("how", ["whole", "bytes", *range(8)])
@pytest.mark.parametrize("form", FORMS)
def test_body_is_the_same_however_it_is_split(form, how):
    new_body, text, payload, following = FORMS[form]
    body, payload_read, used = new_body(), b"", 0
    for piece in split(text + following, how):
        if body.is_complete:
            break
        payload_read += b"".join(body.feed(memoryview(piece)))
        used += body.consumed_bytes
    assert payload_read == payload and body.payload_bytes == len(payload)
    assert used == len(text)
    assert body.finish_at_eof() and body.is_complete


@pytest.mark.parametrize("form", ["sized", "chunked", "trailers"])
def test_truncated_body_is_not_complete(form):
    new_body, text, _, _ = FORMS[form]
    for end in range(len(text)):
        body = new_body()
        body.feed(memoryview(text[:end]))
        assert not body.finish_at_eof(), end


BAD = [
    b"zz\r\n",
    b"\r\n",
    b"-1\r\n",
    b"+1\r\n",
    b"0x1\r\n",
    b" 1\r\na\r\n",
    b"1\na\r\n",
    b"1\r\na\n",
    b"1\r\nab\r\n",
    b"1\r\na0\r\n\r\n",
    b"1\r\r\n",
    b"1;\x00\r\n",
    b"1;a\rb\r\n",
    b"1234567890abcdef0\r\n",
    b"1 2\r\n",
    b"1" * 2000,
    b"1;" + b"x" * 2000 + b"\r\n",
    b"0\r\nno colon\r\n\r\n",
    b"0\r\nX: 1\n\r\n",
    b"0\r\n X: 1\r\n\r\n",
    b"0\r\n" + b"X: %b\r\n" % (b"y" * 900) * 20 + b"\r\n",
    b"20000\r\n" + bytes(131072),
]


@pytest.mark.parametrize("how", ["whole", "bytes"])
@pytest.mark.parametrize("text", BAD)
def test_ambiguous_chunks_are_refused(text, how):
    body = ChunkedBody(MAX_BYTES)
    with pytest.raises(MalformedMessage):
        for piece in split(text, how):
            body.feed(memoryview(piece))
        assert not body.is_complete
        raise AssertionError("taken")


def test_body_beyond_the_limit_is_refused():
    body = BodyUntilClose(10)
    body.feed(memoryview(bytes(10)))
    with pytest.raises(MalformedMessage):
        body.feed(memoryview(b"x"))


def test_empty_payload_encodes_no_chunk():
    assert b"".join(encode_chunk([])) == b""
    assert b"".join(encode_chunk([memoryview(b"ab"), b"c"])) == b"3\r\nabc\r\n"
