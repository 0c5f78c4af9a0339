import pytest

from nettledeal.model import Lifecycle, Listing
from nettledeal.net.protocol import backend
from nettledeal.net.protocol.backend import ResponseReader
from nettledeal.net.protocol.catalogue import Catalogue, MalformedCatalogue
from nettledeal.net.protocol.client import RequestReader
from nettledeal.net.protocol.framing import MalformedMessage
from nettledeal.net.protocol.load_report import parse_load_report

HEAD = b"POST /api?x=1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: r1\r\n"


def read(text):
    reader = RequestReader()
    buffer = bytearray(text)
    # The message is the same however it is split.
    for filled in range(len(buffer)):
        assert reader.parse(buffer, filled) is None
    assert reader.parse(buffer, len(buffer)) == len(buffer)
    return reader.request()


@pytest.mark.parametrize(
    ("more", "field", "value"),
    [
        (b"X-Priority-Class: chart\r\n", "category", "chart"),
        (b"", "category", ""),
        (b"X-Timeout-Ms: 480\r\n", "timeout", 4800),
        (b"", "timeout", None),
        (b"X-Retried: 1\r\n", "is_retry", True),
        (b"X-Retried: 0\r\n", "is_retry", False),
        (b"", "is_retry", False),
        (b"X-Attrs: billing=3,effort=12050001,partition_key=ab,more=1\r\n", "customer", "3"),
        (b"X-Attrs: billing=3, partition_key=ab\r\n", "key", "ab"),
        # Unreadable values are ignored.
        (b"X-Attrs: billing=x,effort=,partition_key=,,=\r\n", "customer", "x"),
        (b"X-Tenant-Id: rose-hill\r\nX-Cost: 47837\r\n", "customer", "rose-hill"),
        (b"X-Route-Key: 00a1\r\n", "key", "00a1"),
        (b"", "key", None),
        (b"", "method", b"POST"),
        (b"", "target", b"/api?x=1"),
        (b"Content-Length: 0\r\n", "body", b""),
    ],
)
def test_request_fields(more, field, value):
    assert getattr(read(HEAD + more + b"\r\n"), field) == value


@pytest.mark.parametrize(
    "text",
    [
        HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n10001\r\n" + bytes(65537),
        HEAD + b"Content-Length: +5\r\n\r\n",
        HEAD + b"Content-Length: 5, 5\r\n\r\n",
        HEAD + b"Content-Length : 5\r\n\r\n",
        # Another parser might take this as the end of the head.
        HEAD + b"X: 1\n\nGET / HTTP/1.1\r\n\r\n",
        HEAD + b"X: 1\rY: 2\r\n\r\n",
        5 * b"\r\n" + HEAD + b"\r\n",
        b"GET /a b HTTP/1.1\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        HEAD + b"no colon\r\n\r\n",
    ],
)
def test_malformed_requests(text):
    with pytest.raises(MalformedMessage):
        RequestReader().parse(bytearray(text), len(text))


def test_empty_lines_before_a_request_are_skipped():
    assert read(b"\r\n\r\n" + HEAD + b"\r\n").forwarded_headers == HEAD.partition(b"\r\n")[2]


def test_request_is_forwarded_unchanged():
    more = b"Route: 7\r\nAccept: a\r\nAccept: b\r\nConnection: x-hop\r\nX-Hop: 1\r\nTE: x\r\n"
    request = read(HEAD + more + b"X-Timeout-Ms: 900\r\n" + b"Content-Length: 4\r\n\r\nbody")
    text = b"".join(backend.encode_attempt(request, 4567))
    assert text.startswith(b"POST /api?x=1 HTTP/1.1\r\n")
    # End-to-end headers are forwarded unchanged, hop-by-hop headers are not.
    for line in (b"Host: s", b"X-Request-ID: r1", b"Route: 7", b"Accept: a", b"Accept: b"):
        assert text.count(b"\r\n" + line + b"\r\n") == 1
    assert b"X-Timeout-Ms: 456\r\nContent-Length: 4\r\n\r\n" in text
    for gone in (b"900", b"hop", b"Hop", b"TE:"):
        assert gone not in text


def test_answer_headers_are_forwarded_except_those_for_the_agent():
    text = b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nX-Server-Load: queue=1\r\nContent-Length: 2\r\n\r\nok"
    replying = ResponseReader()
    assert replying.parse(bytearray(text), len(text)) == len(text)
    reply = replying.reply()
    assert (bytes(reply.body), reply.headers) == (b"ok", b"Content-Type: a/b\r\n")
    assert reply.report == {"backlog": 1}


@pytest.mark.parametrize(
    ("text", "found"),
    [
        (b"inflight=7,queue=2,util=0.61", {"outstanding": 7, "backlog": 2, "utilization": 0.61}),
        (b" inflight = 7 ", {"outstanding": 7}),
        (b"inflight=7, recent_ms=5", {"outstanding": 7, "recent_ms": 5}),
        (b"inflight=nan,queue=-1,util=inf,x", {}),
        (b"\xff=1,queue=3", {"\ufffd": 1, "backlog": 3}),
        (2000 * b"x", {}),
        (b"", {}),
        (None, {}),
    ],
)
def test_load_reports(text, found):
    assert parse_load_report(text) == found


ENTRY = b'{"instanceId":"s1","hostPort":"10.1.0.18:7070","zone":"b","machineType":"m2","cell":3'


@pytest.mark.parametrize(
    ("entry", "listing"),
    [
        (ENTRY + b"}", Listing("s1", zone=1, machine_type=0, cell=3)),
        (
            ENTRY + b',"lifecycle":"draining"}',
            Listing("s1", Lifecycle.DRAINING, zone=1, machine_type=0, cell=3),
        ),
        (ENTRY + b',"lifecycle":"gone"}', Listing("s1", Lifecycle.GONE, zone=1, machine_type=0, cell=3)),
        (b'{"instanceId":"s1","lifecycle":"gone"}', Listing("s1", Lifecycle.GONE, zone=-1, machine_type=-1)),
        # An unknown lifecycle counts as draining.
        (
            ENTRY + b',"lifecycle":"resting"}',
            Listing("s1", Lifecycle.DRAINING, zone=1, machine_type=0, cell=3),
        ),
        (
            ENTRY + b',"startedAtMs":1700000000123,"weight":2}',
            Listing("s1", zone=1, machine_type=0, cell=3, weight=2.0, started_at=17_000_000_001_230),
        ),
        (ENTRY + b',"weight":-1,"brand":"new"}', Listing("s1", zone=1, machine_type=0, cell=3)),
        # An unreadable entry must not invalidate the others.
        (b'{"instanceId":"s1","hostPort":"nowhere"}', None),
        (b'{"instanceId":"s1","hostPort":"h:99999"}', None),
        (b'{"hostPort":"h:9"}', None),
        (b'{"instanceId":7,"hostPort":"h:9"}', None),
        (b"5", None),
    ],
)
def test_catalogue_entries(entry, listing):
    other = b'{"instanceId":"s2","hostPort":"10.1.0.19:7070"}'
    line = b'{"generation":4,"reset":true,"instances":[' + entry + b"," + other + b"]}"
    update = Catalogue(["a", "b"], ["m2"]).parse(line)
    assert (update.generation, update.is_full, update.unreadable_entries) == (4, True, listing is None)
    # Watched from that version, unless unreadable entries left holes that no change would fill.
    assert update.resume_version == (4 if listing else None)
    assert update.listings[0] == listing if listing else len(update.listings) == 1
    assert update.addresses["s2"] == ("10.1.0.19", 7070)


@pytest.mark.parametrize(
    "line", [b"{", b"[]", b"{}", b'{"generation":"x","instances":[]}', b'{"generation":1}', b"\xff\xfe"]
)
def test_malformed_catalogue_lines(line):
    with pytest.raises(MalformedCatalogue):
        Catalogue([], []).parse(line)
