from random import Random

import gevent
import pytest
from gevent.event import Event
from helpers import Far, replies, served, until

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


def says(*parts, end=False):
    """Answers a watch with these bytes, then falls silent or ends the connection."""

    def script(peer):
        peer.heard = [peer.hear()]
        for part in parts:
            peer.send(part)
            gevent.sleep(0.002)
        if end:
            peer.sock.close()

    return script


SILENCE = discovery_watch_module.SILENCE_TIMEOUT_S
WHOLE = replies(served(line(3, "s1", "s2", whole=True)))


class Follow:
    def __init__(self, *scripts, version=None):
        self.far = Far(*scripts)
        self.news, self.lost = [], []
        self.counters = Counters()
        self.discovery_watch = DiscoveryWatch(
            self.far.address,
            Random(1),
            self.counters,
            Catalogue([], []),
            self.news.append,
            lambda: self.lost.append(1),
            version,
        )
        self.discovery_watch.start()

    def heard(self, count):
        assert until(lambda: len(self.news) >= count)
        return [(news.generation, news.is_full, len(news.listings)) for news in self.news]


@pytest.fixture(autouse=True)
def hurried(monkeypatch):
    monkeypatch.setattr(discovery_watch_module, "FIRST_PAUSE_S", 0.001)
    monkeypatch.setattr(discovery_watch_module, "FIRST_DECLINED_PAUSE_S", 0.001)
    monkeypatch.setattr(discovery_watch_module, "SILENCE_TIMEOUT_S", 0.2)


def test_the_whole_list_first_then_what_changes():
    text = line(4, "s3")
    follow = Follow(WHOLE, says(CHUNKED, chunk(text[:9]), chunk(text[9:] + b"\n"), chunk(b"\n")))
    assert follow.heard(2) == [(3, True, 2), (4, False, 1)]
    assert b"/catalog/members " in follow.far.peers[0].reset[0]
    assert b"/catalog/members?watch=1&from=3 " in follow.far.peers[1].reset[0]
    assert not follow.lost


@pytest.mark.parametrize(
    "first",
    [
        says(CHUNKED + chunk(line(4, "s3") + b"\n"), end=True),
        # Silence is a loss: a cut connection says nothing else.
        says(CHUNKED + chunk(line(4, "s3") + b"\n")),
        says(CHUNKED + chunk(line(4, "s3") + b"\n") + b"0\r\n\r\n"),
    ],
)
def test_a_watch_that_ends_or_falls_silent_is_opened_anew_from_where_it_was(first):
    follow = Follow(WHOLE, first, says(CHUNKED + chunk(line(5, "s4") + b"\n")))
    assert follow.heard(3) == [(3, True, 2), (4, False, 1), (5, False, 1)]
    assert follow.lost
    assert b"from=4 " in follow.far.peers[2].reset[0]


@pytest.mark.parametrize(
    "first",
    [
        says(CHUNKED + chunk(b'{"generation":4,"inst\n')),
        says(CHUNKED + b"zz\r\n"),
        says(b"garbage\r\n\r\n"),
        says(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"),
    ],
)
def test_after_a_garbled_line_the_whole_list_is_asked_for(first):
    follow = Follow(WHOLE, first, replies(served(line(6, "s9", whole=True))), says(CHUNKED))
    # What the garbled one said is in none of the later lines.
    assert follow.heard(2)[1] == (6, True, 1)
    assert follow.lost


def test_what_was_known_at_the_start_is_watched_from_with_one_call():
    follow = Follow(says(CHUNKED + chunk(line(42, "s3") + b"\n")), version=41)
    assert follow.heard(1) == [(42, False, 1)]
    assert b"?watch=1&from=41 " in follow.far.peers[0].reset[0]


@pytest.mark.parametrize("status", [b"503 Service Unavailable", b"429 Too Many Requests"])
def test_turned_away_it_comes_back_with_one_call_from_where_it_was(status):
    away = replies(b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n" % status)
    follow = Follow(away, away, says(CHUNKED + chunk(line(42, "s3") + b"\n")), version=41)
    assert follow.heard(1) == [(42, False, 1)]
    # Not all of the list, by two calls, since nothing told so far is in doubt.
    assert all(b"?watch=1&from=41 " in peer.heard[0] for peer in follow.far.peers)
    assert follow.counters["list calls declined"] == 2


def test_a_fleet_that_is_turned_away_calls_ever_more_rarely_and_never_in_step():
    fleet = [Backoff(Random(seed)) for seed in range(40)]
    away = CallDeclined(503, None)
    first, *rest = ([pauses.next_pause_s(away) for pauses in fleet] for _ in range(16))
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
def test_turned_away_with_a_time_to_come_back(lines, retry_after):
    with pytest.raises(CallDeclined) as fault:
        DiscoveryResponse().feed(memoryview(b"HTTP/1.1 503 Service Unavailable\r\n" + lines + b"\r\n"))
    assert fault.value.retry_after == retry_after


def test_empty_lines_keep_a_watch_standing(monkeypatch):
    follow = Follow(WHOLE, says(CHUNKED, *[chunk(b"\n")] * 40, chunk(line(4) + b"\n")))
    assert follow.heard(2)[1] == (4, False, 0)
    assert not follow.lost


def test_while_nobody_answers_the_loss_is_told_and_the_list_tried_again():
    follow = Follow(says(end=True), says(end=True), WHOLE, says(CHUNKED))
    assert follow.heard(1) == [(3, True, 2)]
    assert len(follow.lost) == 2


def test_a_move_is_made_at_once_and_the_old_list_is_heard_until_the_new_one_speaks():
    speak = Event()

    def slow(peer):
        peer.hear()
        speak.wait()
        peer.send(served(line(9, "s5", whole=True)))

    more = [chunk(line(generation) + b"\n") for generation in range(4, 60)]
    follow = Follow(WHOLE, says(CHUNKED, *more))
    follow.heard(1)
    second = Far(slow, slow, says(CHUNKED + chunk(line(10, "s6") + b"\n")))
    follow.discovery_watch.change_address(second.address)
    assert until(lambda: second.peers)
    before = len(follow.news)
    follow.heard(before + 3)
    # Moved again amid its connect, and back: whoever stands is heard all the while.
    follow.discovery_watch.change_address(Far(slow).address)
    follow.discovery_watch.change_address(second.address)
    assert until(lambda: len(second.peers) == 2)
    speak.set()
    assert until(lambda: (10, False) in [(news.generation, news.is_full) for news in follow.news])
    told = [news.generation for news in follow.news]
    heard = len(told)
    gevent.sleep(0.02)
    assert told[-1] == 10 and len(follow.news) == heard, "the old watch has ended"
    assert follow.far.peers[1].sock.recv(1) == b"" and not follow.lost


def test_an_old_watch_that_ends_does_not_come_back_and_is_a_loss_only_while_no_other_stands():
    follow = Follow(WHOLE, says(CHUNKED, chunk(b"\n"), end=True))
    follow.heard(1)
    follow.discovery_watch.change_address(Far(says()).address)
    assert until(lambda: follow.lost)
    gevent.sleep(0.02)
    assert len(follow.far.peers) == 2


def trickles(peer):
    """Bytes without end, never a whole line."""
    peer.hear()
    peer.send(CHUNKED)
    while True:
        peer.send(chunk(b" "))
        gevent.sleep(0.002)


def trickles_a_list(peer):
    peer.hear()
    peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n")
    while True:
        peer.send(b" ")
        gevent.sleep(0.002)


def hushed(peer):
    peer.hear()
    gevent.sleep(3600)


def fails(peer):
    peer.hear()
    peer.sock.close()


AWAY_FOR_LONG = replies(b"HTTP/1.1 503 Busy\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n")
STANDING = says(CHUNKED + chunk(line(3, "s1", whole=True) + b"\n"))


@pytest.mark.parametrize("version", [None, 2])
@pytest.mark.parametrize(
    "bad",
    [
        (trickles,),
        (trickles_a_list,),
        (hushed,),
        (AWAY_FOR_LONG,),
        (fails, AWAY_FOR_LONG, hushed, trickles),
        (says(CHUNKED + chunk(line(3, "s1") + b"\n"), chunk(b'{"generation":4')), trickles, AWAY_FOR_LONG),
    ],
)
def test_whatever_call_failed_the_list_is_heard_soon_after_it_can_be(bad, version, monkeypatch):
    # Everything a twentieth as long: each of these hung for a minute or for good, and six seconds are all.
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
        # Back for good once each of the bad answers has been given.
        calls.append(peer)
        if answers:
            answers.pop(0)(peer)
        elif b"watch=1" in peer.hear():
            peer.send(CHUNKED + chunk(line(9, "s9", whole=True) + b"\n"))
            gevent.sleep(3600)
        else:
            peer.send(served(line(9, "s9", whole=True)))

    follow = Follow(service, version=version)
    assert until(lambda: any(news.generation == 9 for news in follow.news))
    assert len(calls) <= len(bad) + 3, "and without a storm of calls"


def test_time_for_another_call_is_left_within_the_six_seconds():
    for failed in (CallDeclined(503, None), CallDeclined(503, 60.0)):
        fleet = [Backoff(Random(seed)) for seed in range(200)]
        rests = [max(pause.next_pause_s(failed) for pause in fleet) for _ in range(12)]
        # Two that are turned away, and two seconds for the answer of the one that is not.
        assert 2 * max(rests) <= 6.0 - 2.0
    # A call that hung from before the return, the longest rest, and two seconds for the next one's answer.
    fleet = [Backoff(Random(seed)) for seed in range(200)]
    lost = [max(pause.next_pause_s(None) for pause in fleet) for _ in range(12)]
    assert max(lost) <= 1.0 and SILENCE + max(lost) <= 6.0 - 2.0
    # A watch that falls silent right before a change, and a call that hangs: a third begins in time.
    assert SILENCE + lost[0] + SILENCE + lost[1] < 6.0 - 0.2


def test_agents_told_to_come_back_late_do_not_come_back_together():
    rests = {Backoff(Random(seed)).next_pause_s(CallDeclined(503, 60.0)) for seed in range(200)}
    assert len(rests) == 200 and max(rests) - min(rests) > 0.6
