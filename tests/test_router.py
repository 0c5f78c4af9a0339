from http import HTTPStatus

import gevent
import pytest
from helpers import SECOND, settings, until

from nettledeal.model import Lifecycle, Listing, Outcome
from nettledeal.net.clock import Clock
from nettledeal.net.counters import Counters
from nettledeal.net.protocol.backend import Reply
from nettledeal.net.protocol.catalogue import CatalogueUpdate
from nettledeal.net.protocol.client import ClientRequest
from nettledeal.net.routing.actions import WAY
from nettledeal.net.routing.router import Router
from nettledeal.net.transport.pending_answer import PendingAnswer
from nettledeal.policy.balancer import Balancer

PLACE = ("127.0.0.1", 9)


class Ways:
    """Pools without sockets: keeps what the router sends, for the test to answer."""

    def __init__(self):
        self.pools, self.exchanges, self.sent_to, self.full = {}, [], [], False

    def place(self, backend, address):
        self.pools[backend] = address

    def drop(self, backend):
        self.pools.pop(backend, None)

    def host(self, backend):
        return "127.0.0.1:9"

    def carry(self, backend, exchange):
        if self.full or backend not in self.pools:
            return False
        self.exchanges.append(exchange)
        self.sent_to.append(backend)
        return True


class Desk:
    """A router that runs, with two backends and no sockets."""

    def __init__(self, most=100, zones=(0, 0), **changes):
        self.ways, self.counters, self.asked, self.names = Ways(), Counters(), [], 0
        self.clock = Clock()
        told = settings(allowed__probes=False, **changes)
        self.router = Router(
            Balancer(1, told, self.clock.now()),
            self.clock,
            self.counters,
            self.ways,
            {"read": 0, "write": 1},
            {"firm": 1, "shop": 0},
            {"read": 2 * SECOND, "write": 2 * SECOND},
            most,
            probe_within=500,
            reports=True,
            subscribe=lambda: self.asked.append(1),
        )
        listings = [Listing(f"b{n}", zone=zone) for n, zone in enumerate(zones)]
        self.router.start(CatalogueUpdate(1, True, listings, {f"b{n}": PLACE for n in range(len(zones))}))
        gevent.spawn(self.router.run)

    def take(self, category="read", wait=2 * SECOND, at=None, name=None):
        pending = PendingAnswer()
        self.names += 1
        name = name or b"r%d" % self.names
        request = ClientRequest(name, b"GET", b"/api", b"X: 1\r\n", b"", category, wait, False)
        id = self.router.offer(request, at or self.clock.now(), pending)
        return pending, id

    def out(self, count=1):
        assert until(lambda: len(self.ways.exchanges) >= count)
        return self.ways.exchanges[count - 1]

    def answered(self, pending):
        assert until(lambda: pending.status is not None)
        return pending.status


def test_a_work_item_goes_out_and_its_answer_comes_back_unchanged():
    desk = Desk()
    pending, _ = desk.take()
    desk.out().done(Reply(Outcome.FINISHED, b"the body", b"Content-Type: text/plain\r\n", {}))
    assert desk.answered(pending) is HTTPStatus.OK
    assert (pending.body, pending.lines) == (b"the body", b"Content-Type: text/plain\r\n")
    assert not desk.router.busy


@pytest.mark.parametrize(
    ("category", "outcome", "status"),
    [
        # Rerunnable ones go out again; exclusive ones only when the first never ran.
        ("read", Outcome.RESET, None),
        ("read", Outcome.ERROR, None),
        ("write", Outcome.UNREACHABLE, None),
        ("write", Outcome.FULL, None),
        ("write", Outcome.RESET, HTTPStatus.BAD_GATEWAY),
        ("write", Outcome.ERROR, HTTPStatus.BAD_GATEWAY),
        ("write", Outcome.TIMED_OUT, HTTPStatus.BAD_GATEWAY),
        # Rights that nothing tells are the strictest.
        ("", Outcome.RESET, HTTPStatus.BAD_GATEWAY),
        ("", Outcome.UNREACHABLE, None),
    ],
)
def test_what_follows_an_outcome(category, outcome, status):
    desk = Desk()
    pending, _ = desk.take(category)
    desk.out().done(Reply(outcome))
    if status is None:
        assert desk.out(2)
        assert desk.ways.sent_to[0] != desk.ways.sent_to[1]
        assert pending.status is None
    else:
        assert desk.answered(pending) is status
        assert len(desk.ways.exchanges) == 1


@pytest.mark.parametrize(("name", "number"), [("firm", 1), ("1", 1), ("", 0), ("stranger", -1)])
def test_customers_are_known_by_name_or_number(name, number, monkeypatch):
    desk, seen = Desk(), []
    sound = desk.router.balancer.submit
    monkeypatch.setattr(
        desk.router.balancer, "submit", lambda *a, **f: (seen.append(f["customer"]), sound(*a, **f))[1]
    )
    request = ClientRequest(b"r", b"GET", b"/", b"", b"", "read", None, False, customer=name)
    desk.router.offer(request, desk.clock.now(), PendingAnswer())
    assert until(lambda: seen == [number])


def test_nothing_is_out_any_more_once_the_client_has_left():
    desk = Desk(allowed__cancelling=False)
    pending, id = desk.take()
    exchange = desk.out()
    desk.router.gone(id)
    # Also where recalls are not allowed: what is still unsent must not be sent for nobody.
    assert until(lambda: exchange.dropped)
    exchange.done(Reply(Outcome.RESET))
    gevent.sleep(0.01)
    assert len(desk.ways.exchanges) == 1
    assert not desk.router.busy


def test_nothing_is_sent_again_while_the_word_of_a_client_leaving_is_in_the_queue():
    desk = Desk()
    pending, id = desk.take()
    exchange = desk.out()
    exchange.done(Reply(Outcome.RESET))
    pending.put(HTTPStatus.BAD_GATEWAY)
    desk.router.gone(id)
    assert until(lambda: not desk.router.busy)
    assert len(desk.ways.exchanges) == 1


def test_without_a_connection_to_be_had_the_work_item_is_deferred_at_once():
    desk = Desk()
    desk.ways.full = True
    pending, _ = desk.take("write")
    assert desk.answered(pending) is HTTPStatus.SERVICE_UNAVAILABLE


def test_what_is_over_the_told_number_is_deferred_at_the_door():
    desk = Desk(most=2)
    held = [desk.take()[0] for _ in range(2)]
    pending, id = desk.take()
    assert (pending.status, id) == (HTTPStatus.SERVICE_UNAVAILABLE, None)
    assert [other.status for other in held] == [None, None]


@pytest.mark.parametrize("call", ["submit", "on_attempt_end"])
def test_a_fault_costs_one_work_item_and_no_more(call, monkeypatch):
    desk = Desk()
    sound = getattr(desk.router.balancer, call)

    def faulty(*arguments, **fields):
        monkeypatch.setattr(desk.router.balancer, call, sound)
        raise ZeroDivisionError

    monkeypatch.setattr(desk.router.balancer, call, faulty)
    pending, _ = desk.take()
    if call == "on_attempt_end":
        desk.out().done(Reply(Outcome.RESET))
    # Nobody knows what has run, so it is no deferral.
    assert desk.answered(pending) is HTTPStatus.BAD_GATEWAY
    sent = len(desk.ways.exchanges)
    other, _ = desk.take()
    desk.out(sent + 1).done(Reply(Outcome.FINISHED, report={}))
    assert desk.answered(other) is HTTPStatus.OK
    assert desk.counters["faults"] == 1


def test_an_act_that_fails_costs_no_other_work_item(monkeypatch):
    desk = Desk()
    sound = desk.ways.carry

    def faulty(backend, exchange):
        monkeypatch.setattr(desk.ways, "carry", sound)
        raise ZeroDivisionError

    monkeypatch.setattr(desk.ways, "carry", faulty)
    pending, _ = desk.take("write")
    # It was never sent, so even an exclusive one may go out again.
    desk.out().done(Reply(Outcome.FINISHED))
    assert desk.answered(pending) is HTTPStatus.OK


def test_a_wake_that_is_due_is_not_kept_waiting_by_a_full_queue():
    desk = Desk()
    order = []
    desk.router._woken = lambda: (order.append("wake"), setattr(desk.router, "wake", None))
    for _ in range(3):
        desk.router.queue.put((lambda: order.append("event"), ()))
    desk.router.wake = desk.clock.now()
    assert until(lambda: len(order) == 4)
    assert order[0] == "wake"


def test_an_answers_time_is_that_of_its_connection_not_of_the_queue(monkeypatch):
    desk = Desk()
    told = []
    sound = desk.router.balancer.on_attempt_end

    def returned(now, id, number, outcome, took, **fields):
        told.append(took)
        return sound(now, id, number, outcome, took, **fields)

    monkeypatch.setattr(desk.router.balancer, "on_attempt_end", returned)
    pending, _ = desk.take()
    exchange = desk.out()
    gevent.sleep(0.01)  # longer than it took, by its own account
    exchange.done(Reply(Outcome.FINISHED, took=7))
    desk.answered(pending)
    assert until(lambda: told == [7])


def test_the_clients_own_ids_may_repeat():
    desk = Desk()
    answers = [desk.take()[0] for _ in range(2)]
    for n, body in enumerate((b"one", b"two")):
        desk.out(n + 1).done(Reply(Outcome.FINISHED, body))
    assert until(lambda: all(pending.status for pending in answers))
    assert [pending.body for pending in answers] == [b"one", b"two"]


def test_expiry_counts_from_the_reading_and_leaves_room_for_the_way():
    desk = Desk()
    at = desk.clock.now()
    pending, _ = desk.take(wait=1_000, at=at)
    assert desk.out().give_up_at <= at + 1_000 - WAY
    assert pending.by == at + 1_000


@pytest.mark.parametrize(("lag", "room"), [(10, 0), (200, 200)])
def test_a_loop_that_runs_late_gives_up_sooner(lag, room):
    desk = Desk()
    desk.router.lag = lag
    at = desk.clock.now()
    desk.take(wait=5_000, at=at)
    left = at + 5_000 - WAY - desk.out().give_up_at
    # A little lag must not blur by how long a client waits first tries are told from repeats.
    assert room <= left < room + 100


def test_no_timeout_from_the_client_means_that_of_its_category():
    desk = Desk()
    pending, _ = desk.take(wait=None, at=5)
    assert pending.by == 5 + 2 * SECOND


@pytest.mark.parametrize("life", [Lifecycle.DRAINING, Lifecycle.GONE])
def test_backends_that_want_nothing_new_lose_their_pools(life):
    desk = Desk()
    desk.router.news(CatalogueUpdate(2, False, [Listing("b0", lifecycle=life)], {"b0": PLACE}))
    assert until(lambda: set(desk.ways.pools) == {"b1"})
    for _ in range(2):
        desk.take()
    assert desk.out(2)
    assert set(desk.ways.sent_to) == {"b1"}


def test_a_whole_list_drops_what_it_does_not_name():
    desk = Desk()
    desk.router.news(CatalogueUpdate(2, True, [Listing("b1")], {"b1": PLACE}))
    assert until(lambda: set(desk.ways.pools) == {"b1"})


def test_a_lost_list_is_told_and_asked_for_again():
    desk = Desk(rules__ask_within=160)
    desk.router.lost()
    assert until(lambda: desk.asked)


def test_what_must_hold_is_asserted_here_and_counted_in_release():
    with pytest.raises(AssertionError):
        Counters().must(False, "never")


def test_the_name_of_an_open_work_item_is_not_taken_twice():
    desk = Desk()
    pending, _ = desk.take(name=b"r")
    desk.out()
    # To a backend both would be the same; a deferral would promise that neither runs.
    twin, id = desk.take(name=b"r")
    assert (id, twin.status, pending.status) == (None, HTTPStatus.CONFLICT, None)
    desk.out().done(Reply(Outcome.FINISHED, b""))
    assert desk.answered(pending) is HTTPStatus.OK
    again, _ = desk.take(name=b"r")
    desk.out(2).done(Reply(Outcome.FINISHED, b""))
    assert desk.answered(again) is HTTPStatus.OK


def test_a_category_that_no_setting_names_is_turned_away_at_the_door():
    desk = Desk()
    pending, id = desk.take(category="nonsense")
    assert (id, pending.status) == (None, HTTPStatus.BAD_REQUEST)
    gevent.sleep(0.01)
    assert not desk.ways.exchanges


def test_an_operators_order_comes_before_all_that_waits_and_takes_its_connections_away(monkeypatch):
    desk = Desk()
    order = []
    sound = desk.router.balancer.cordon
    monkeypatch.setattr(desk.router.balancer, "cordon", lambda *a: (order.append("cordon"), sound(*a))[1])

    def busy():
        order.append("event")

    # The router is not asked again between events while there are any.
    for _ in range(3):
        desk.router.queue.put((busy, ()))
    desk.router.queue.put((lambda: order.append("last"), ()))
    assert desk.router.cordon("b0")
    assert sorted(desk.ways.pools) == ["b1"]
    assert order[0] == "cordon" and until(lambda: len(order) == 5)
    # The list names it as running, at another place; it stays out, and that place is its own once back.
    moved = CatalogueUpdate(2, False, [Listing("b0", zone=0)], {"b0": ("127.0.0.1", 10)})
    desk.router.news(moved)
    gevent.sleep(0.01)
    assert sorted(desk.ways.pools) == ["b1"]
    assert desk.router.uncordon("b0")
    assert desk.ways.pools["b0"] == ("127.0.0.1", 10)
    assert not desk.router.cordon("b9") and not desk.router.uncordon("b9")


def test_an_order_nobody_waits_for_any_more_is_not_carried_out(monkeypatch):
    desk = Desk()
    monkeypatch.setattr(desk.router, "_ordered", lambda: None)  # too busy
    with pytest.raises(gevent.Timeout), gevent.Timeout(0.01):
        desk.router.cordon("b0")
    assert not desk.router.orders


def test_a_hand_off_decided_but_not_written_goes_elsewhere_when_its_backend_is_taken_out():
    desk = Desk()
    pending, _ = desk.take("write")
    first = desk.out()
    went = desk.ways.sent_to[0]
    assert desk.router.cordon(went)
    # What its pool does with an exchange not yet written.
    first.done(Reply(Outcome.UNSENT))
    desk.out(2).done(Reply(Outcome.FINISHED, report={}))
    assert desk.ways.sent_to[1] != went
    assert desk.answered(pending) is HTTPStatus.OK


@pytest.mark.parametrize("category", ["read", "write"])
def test_all_taken_out_work_is_deferred_at_once(category):
    desk = Desk()
    assert desk.router.cordon("b0") and desk.router.cordon("b1")
    pending, _ = desk.take(category)
    assert desk.answered(pending) is HTTPStatus.SERVICE_UNAVAILABLE
