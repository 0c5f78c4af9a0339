from random import Random

import gevent
import pytest
from gevent.event import Event
from helpers import ScriptedServer, reply_script, response_bytes, wait_until

from nettledeal.net.counters import Counters
from nettledeal.net.protocol.catalogue import Catalogue
from nettledeal.net.protocol.discovery import CallDeclined, DiscoveryResponse
from nettledeal.net.transport import discovery_watch as discovery_watch_module
from nettledeal.net.transport.discovery_watch import Backoff, DiscoveryWatch

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def line(generation, *names, whole=False):
    entries = ",".join(f'{{"instanceId":"{name}","hostPort":"127.0.0.1:9"}}' for name in names)
    return b'{"generation":%d,"reset":%b,"instances":[%b]}' % (
        generation,
        b"true" if whole else b"false",
        entries.encode(),
    )


def chunk(text):
    return b"%x\r\n%b\r\n" % (len(text), text)


def responds(*parts, end=False):
    """A script that answers a watch with these bytes, then falls silent or closes the connection."""

    def script(peer):
        peer.received = [peer.receive_message()]
        for part in parts:
            peer.send(part)
            gevent.sleep(0.002)
        if end:
            peer.sock.close()

    return script


SILENCE = discovery_watch_module.SILENCE_TIMEOUT_S
WHOLE = reply_script(response_bytes(line(3, "s1", "s2", whole=True)))


class WatchRig:
    def __init__(self, *scripts, version=None):
        self.far = ScriptedServer(*scripts)
        self.updates, self.lost = [], []
        self.counters = Counters()
        self.discovery_watch = DiscoveryWatch(
            self.far.address,
            Random(1),
            self.counters,
            Catalogue([], []),
            self.updates.append,
            lambda: self.lost.append(1),
            version,
        )
        self.discovery_watch.start()

    def updates_received(self, count):
        assert wait_until(lambda: len(self.updates) >= count)
        return [(update.generation, update.is_full, len(update.listings)) for update in self.updates]


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    monkeypatch.setattr(discovery_watch_module, "FIRST_PAUSE_S", 0.001)
    monkeypatch.setattr(discovery_watch_module, "FIRST_DECLINED_PAUSE_S", 0.001)
    monkeypatch.setattr(discovery_watch_module, "SILENCE_TIMEOUT_S", 0.2)


def test_full_list_first_then_changes():
    text = line(4, "s3")
    rig = WatchRig(WHOLE, responds(CHUNKED, chunk(text[:9]), chunk(text[9:] + b"\n"), chunk(b"\n")))
    assert rig.updates_received(2) == [(3, True, 2), (4, False, 1)]
    assert b"/catalog/members " in rig.far.peers[0].received[0]
    assert b"/catalog/members?watch=1&from=3 " in rig.far.peers[1].received[0]
    assert not rig.lost


@pytest.mark.parametrize(
    "first",
    [
        responds(CHUNKED + chunk(line(4, "s3") + b"\n"), end=True),
        # Silence counts as a loss: a cut connection gives no other sign.
        responds(CHUNKED + chunk(line(4, "s3") + b"\n")),
        responds(CHUNKED + chunk(line(4, "s3") + b"\n") + b"0\r\n\r\n"),
    ],
)
def test_ended_or_silent_watch_is_resumed_from_its_version(first):
    rig = WatchRig(WHOLE, first, responds(CHUNKED + chunk(line(5, "s4") + b"\n")))
    assert rig.updates_received(3) == [(3, True, 2), (4, False, 1), (5, False, 1)]
    assert rig.lost
    assert b"from=4 " in rig.far.peers[2].received[0]


@pytest.mark.parametrize(
    "first",
    [
        responds(CHUNKED + chunk(b'{"generation":4,"inst\n')),
        responds(CHUNKED + b"zz\r\n"),
        responds(b"garbage\r\n\r\n"),
        responds(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"),
    ],
)
def test_full_list_is_requested_after_a_malformed_line(first):
    rig = WatchRig(WHOLE, first, reply_script(response_bytes(line(6, "s9", whole=True))), responds(CHUNKED))
    # Later lines don't repeat what the malformed one said.
    assert rig.updates_received(2)[1] == (6, True, 1)
    assert rig.lost


def test_known_list_is_watched_from_its_version():
    rig = WatchRig(responds(CHUNKED + chunk(line(42, "s3") + b"\n")), version=41)
    assert rig.updates_received(1) == [(42, False, 1)]
    assert b"?watch=1&from=41 " in rig.far.peers[0].received[0]


@pytest.mark.parametrize("status", [b"503 Service Unavailable", b"429 Too Many Requests"])
def test_declined_call_is_retried_from_its_version(status):
    declined = reply_script(b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n" % status)
    rig = WatchRig(declined, declined, responds(CHUNKED + chunk(line(42, "s3") + b"\n")), version=41)
    assert rig.updates_received(1) == [(42, False, 1)]
    # Not the full list, which takes two calls: what was received so far remains valid.
    assert all(b"?watch=1&from=41 " in peer.received[0] for peer in rig.far.peers)
    assert rig.counters["list calls declined"] == 2


def test_declined_callers_back_off_with_jitter():
    fleet = [Backoff(Random(seed)) for seed in range(40)]
    declined = CallDeclined(503, None)
    first, *rest = ([pauses.next_pause_s(declined) for pauses in fleet] for _ in range(16))
    base = discovery_watch_module.FIRST_DECLINED_PAUSE_S
    assert all(0.5 * base <= pause <= 1.5 * base for pause in first) and len(set(first)) == 40
    assert min(rest[-1]) >= 0.5 * discovery_watch_module.MAX_DECLINED_PAUSE_S
    assert all(
        1.25 <= Backoff(Random(seed)).next_pause_s(CallDeclined(503, 2.5)) <= 3.75 for seed in range(9)
    )
    fleet[0].reset()
    assert fleet[0].next_pause_s(None) <= 1.5 * discovery_watch_module.FIRST_PAUSE_S


@pytest.mark.parametrize(
    ("lines", "retry_after"),
    [
        (b"", None),
        (b"Retry-After: 2.5\r\n", 2.5),
        (b"retry-after: soon\r\n", None),
        (b"Retry-After: 1e9\r\n", 60.0),
    ],
)
def test_retry_after_of_a_declined_call(lines, retry_after):
    with pytest.raises(CallDeclined) as fault:
        DiscoveryResponse().feed(memoryview(b"HTTP/1.1 503 Service Unavailable\r\n" + lines + b"\r\n"))
    assert fault.value.retry_after == retry_after


def test_empty_lines_keep_a_watch_alive(monkeypatch):
    rig = WatchRig(WHOLE, responds(CHUNKED, *[chunk(b"\n")] * 40, chunk(line(4) + b"\n")))
    assert rig.updates_received(2)[1] == (4, False, 0)
    assert not rig.lost


def test_loss_is_reported_and_the_list_requested_again():
    rig = WatchRig(responds(end=True), responds(end=True), WHOLE, responds(CHUNKED))
    assert rig.updates_received(1) == [(3, True, 2)]
    assert len(rig.lost) == 2


def test_old_watch_is_used_until_the_new_address_answers():
    speak = Event()

    def slow(peer):
        peer.receive_message()
        speak.wait()
        peer.send(response_bytes(line(9, "s5", whole=True)))

    more = [chunk(line(generation) + b"\n") for generation in range(4, 60)]
    rig = WatchRig(WHOLE, responds(CHUNKED, *more))
    rig.updates_received(1)
    second = ScriptedServer(slow, slow, responds(CHUNKED + chunk(line(10, "s6") + b"\n")))
    rig.discovery_watch.change_address(second.address)
    assert wait_until(lambda: second.peers)
    before = len(rig.updates)
    rig.updates_received(before + 3)
    # Changed again while connecting, and back: the live watch is used all the time.
    rig.discovery_watch.change_address(ScriptedServer(slow).address)
    rig.discovery_watch.change_address(second.address)
    assert wait_until(lambda: len(second.peers) == 2)
    speak.set()
    assert wait_until(lambda: (10, False) in [(update.generation, update.is_full) for update in rig.updates])
    told = [update.generation for update in rig.updates]
    updates_received = len(told)
    gevent.sleep(0.02)
    assert told[-1] == 10 and len(rig.updates) == updates_received, "the old watch has ended"
    assert rig.far.peers[1].sock.recv(1) == b"" and not rig.lost


def test_old_watch_does_not_reconnect_after_a_change_of_address():
    rig = WatchRig(WHOLE, responds(CHUNKED, chunk(b"\n"), end=True))
    rig.updates_received(1)
    rig.discovery_watch.change_address(ScriptedServer(responds()).address)
    assert wait_until(lambda: rig.lost)
    gevent.sleep(0.02)
    assert len(rig.far.peers) == 2


def endless_line(peer):
    """Sends bytes endlessly, but never a complete line."""
    peer.receive_message()
    peer.send(CHUNKED)
    while True:
        peer.send(chunk(b" "))
        gevent.sleep(0.002)


def endless_list(peer):
    peer.receive_message()
    peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n")
    while True:
        peer.send(b" ")
        gevent.sleep(0.002)


def never_answer(peer):
    peer.receive_message()
    gevent.sleep(3600)


def close_connection(peer):
    peer.receive_message()
    peer.sock.close()


DECLINED_FOR_LONG = reply_script(b"HTTP/1.1 503 Busy\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n")
LIVE_WATCH = responds(CHUNKED + chunk(line(3, "s1", whole=True) + b"\n"))


@pytest.mark.parametrize("version", [None, 2])
@pytest.mark.parametrize(
    "bad",
    [
        (endless_line,),
        (endless_list,),
        (never_answer,),
        (DECLINED_FOR_LONG,),
        (close_connection, DECLINED_FOR_LONG, never_answer, endless_line),
        (
            responds(CHUNKED + chunk(line(3, "s1") + b"\n"), chunk(b'{"generation":4')),
            endless_line,
            DECLINED_FOR_LONG,
        ),
    ],
)
def test_list_arrives_in_time_whatever_calls_failed_before(bad, version, monkeypatch):
    # All times a twentieth of the real ones. Each of these calls used to hang for a minute or for good; the
    # limit is six seconds.
    for name in (
        "SILENCE_TIMEOUT_S",
        "MAX_PAUSE_S",
        "MAX_DECLINED_PAUSE_S",
        "MAX_WAIT_S",
        "MAX_LEAST_WAIT_S",
    ):
        monkeypatch.setattr(discovery_watch_module, name, getattr(discovery_watch_module, name) / 20)
    calls, answers = [], list(bad)

    def service(peer):
        # Works once each of the bad answers was given.
        calls.append(peer)
        if answers:
            answers.pop(0)(peer)
        elif b"watch=1" in peer.receive_message():
            peer.send(CHUNKED + chunk(line(9, "s9", whole=True) + b"\n"))
            gevent.sleep(3600)
        else:
            peer.send(response_bytes(line(9, "s9", whole=True)))

    rig = WatchRig(service, version=version)
    assert wait_until(lambda: any(update.generation == 9 for update in rig.updates))
    assert len(calls) <= len(bad) + 3, "without a storm of calls"


def test_waits_leave_time_for_another_call_within_six_seconds():
    for failed in (CallDeclined(503, None), CallDeclined(503, 60.0)):
        fleet = [Backoff(Random(seed)) for seed in range(200)]
        rests = [max(pause.next_pause_s(failed) for pause in fleet) for _ in range(12)]
        # Two declined calls, and two seconds for the answer to the next one.
        assert 2 * max(rests) <= 6.0 - 2.0
    # A call that hung from before discovery came back, the longest wait, and two seconds for the next answer.
    fleet = [Backoff(Random(seed)) for seed in range(200)]
    lost = [max(pause.next_pause_s(None) for pause in fleet) for _ in range(12)]
    assert max(lost) <= 1.0 and SILENCE + max(lost) <= 6.0 - 2.0
    # A watch that falls silent right before a change, and a call that hangs: a third call begins in time.
    assert SILENCE + lost[0] + SILENCE + lost[1] < 6.0 - 0.2


def test_long_retry_after_keeps_jitter():
    rests = {Backoff(Random(seed)).next_pause_s(CallDeclined(503, 60.0)) for seed in range(200)}
    assert len(rests) == 200 and max(rests) - min(rests) > 0.6
