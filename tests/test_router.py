from http import HTTPStatus

import gevent
import pytest
from helpers import SECOND, balancer_settings, wait_until

from nettledeal.model import Lifecycle, Listing, Outcome
from nettledeal.net.clock import Clock
from nettledeal.net.counters import Counters
from nettledeal.net.protocol.backend import Reply
from nettledeal.net.protocol.catalogue import CatalogueUpdate
from nettledeal.net.protocol.client import ClientRequest
from nettledeal.net.routing.actions import TRANSIT_MARGIN_TENTHS
from nettledeal.net.routing.router import Router
from nettledeal.net.transport.pending_answer import PendingAnswer
from nettledeal.policy.balancer import Balancer

ADDRESS = ("127.0.0.1", 9)


class FakePools:
    """Stands in for the pools, without sockets: keeps exchanges for the test to answer."""

    def __init__(self):
        self.pools, self.exchanges, self.sent_to, self.refuses = {}, [], [], False

    def set_address(self, backend, address):
        self.pools[backend] = address

    def remove(self, backend):
        self.pools.pop(backend, None)

    def host(self, backend):
        return "127.0.0.1:9"

    def send(self, backend, exchange):
        if self.refuses or backend not in self.pools:
            return False
        self.exchanges.append(exchange)
        self.sent_to.append(backend)
        return True


class RouterRig:
    """A running router with two backends and no sockets."""

    def __init__(self, most=100, zones=(0, 0), **changes):
        self.pools, self.counters, self.subscriptions, self.request_count = FakePools(), Counters(), [], 0
        self.clock = Clock()
        router_settings = balancer_settings(allowed__probes=False, **changes)
        self.router = Router(
            Balancer(1, router_settings, self.clock.now()),
            self.clock,
            self.counters,
            self.pools,
            {"read": 0, "write": 1},
            {"firm": 1, "shop": 0},
            {"read": 2 * SECOND, "write": 2 * SECOND},
            most,
            probe_timeout=500,
            request_reports=True,
            subscribe=lambda: self.subscriptions.append(1),
        )
        listings = [Listing(f"b{n}", zone=zone) for n, zone in enumerate(zones)]
        self.router.start(CatalogueUpdate(1, True, listings, {f"b{n}": ADDRESS for n in range(len(zones))}))
        gevent.spawn(self.router.run)

    def submit(self, category="read", wait=2 * SECOND, at=None, name=None):
        pending = PendingAnswer()
        self.request_count += 1
        name = name or b"r%d" % self.request_count
        request = ClientRequest(name, b"GET", b"/api", b"X: 1\r\n", b"", category, wait, False)
        id = self.router.submit(request, at or self.clock.now(), pending)
        return pending, id

    def nth_exchange(self, n=1):
        assert wait_until(lambda: len(self.pools.exchanges) >= n)
        return self.pools.exchanges[n - 1]

    def status_of(self, pending):
        assert wait_until(lambda: pending.status is not None)
        return pending.status


def test_answer_is_returned_unchanged():
    rig = RouterRig()
    pending, _ = rig.submit()
    rig.nth_exchange().on_reply(Reply(Outcome.FINISHED, b"the body", b"Content-Type: text/plain\r\n", {}))
    assert rig.status_of(pending) is HTTPStatus.OK
    assert (pending.body, pending.headers) == (b"the body", b"Content-Type: text/plain\r\n")
    assert not rig.router.busy


@pytest.mark.parametrize(
    ("category", "outcome", "status"),
    [
        # Rerunnable ones are retried; exclusive ones only if the first attempt never ran.
        ("read", Outcome.RESET, None),
        ("read", Outcome.ERROR, None),
        ("write", Outcome.UNREACHABLE, None),
        ("write", Outcome.FULL, None),
        ("write", Outcome.RESET, HTTPStatus.BAD_GATEWAY),
        ("write", Outcome.ERROR, HTTPStatus.BAD_GATEWAY),
        ("write", Outcome.TIMED_OUT, HTTPStatus.BAD_GATEWAY),
        # Without a category the strictest rules apply.
        ("", Outcome.RESET, HTTPStatus.BAD_GATEWAY),
        ("", Outcome.UNREACHABLE, None),
    ],
)
def test_retry_or_failure_after_each_outcome(category, outcome, status):
    rig = RouterRig()
    pending, _ = rig.submit(category)
    rig.nth_exchange().on_reply(Reply(outcome))
    if status is None:
        assert rig.nth_exchange(2)
        assert rig.pools.sent_to[0] != rig.pools.sent_to[1]
        assert pending.status is None
    else:
        assert rig.status_of(pending) is status
        assert len(rig.pools.exchanges) == 1


@pytest.mark.parametrize(("name", "number"), [("firm", 1), ("1", 1), ("", 0), ("stranger", -1)])
def test_customers_are_known_by_name_or_number(name, number, monkeypatch):
    rig, seen = RouterRig(), []
    original = rig.router.balancer.submit
    monkeypatch.setattr(
        rig.router.balancer, "submit", lambda *a, **f: (seen.append(f["customer"]), original(*a, **f))[1]
    )
    request = ClientRequest(b"r", b"GET", b"/", b"", b"", "read", None, False, customer=name)
    rig.router.submit(request, rig.clock.now(), PendingAnswer())
    assert wait_until(lambda: seen == [number])


def test_exchanges_are_cancelled_when_the_client_disconnects():
    rig = RouterRig(allowed__cancelling=False)
    pending, id = rig.submit()
    exchange = rig.nth_exchange()
    rig.router.client_left(id)
    # Also if cancelling is not allowed: an exchange that is still unsent must not be sent for nobody.
    assert wait_until(lambda: exchange.cancelled)
    exchange.on_reply(Reply(Outcome.RESET))
    gevent.sleep(0.01)
    assert len(rig.pools.exchanges) == 1
    assert not rig.router.busy


def test_no_retry_while_a_disconnect_is_queued():
    rig = RouterRig()
    pending, id = rig.submit()
    exchange = rig.nth_exchange()
    exchange.on_reply(Reply(Outcome.RESET))
    pending.put(HTTPStatus.BAD_GATEWAY)
    rig.router.client_left(id)
    assert wait_until(lambda: not rig.router.busy)
    assert len(rig.pools.exchanges) == 1


def test_work_item_is_deferred_if_no_connection_is_available():
    rig = RouterRig()
    rig.pools.refuses = True
    pending, _ = rig.submit("write")
    assert rig.status_of(pending) is HTTPStatus.SERVICE_UNAVAILABLE


def test_requests_over_max_open_are_deferred():
    rig = RouterRig(most=2)
    open_ones = [rig.submit()[0] for _ in range(2)]
    pending, id = rig.submit()
    assert (pending.status, id) == (HTTPStatus.SERVICE_UNAVAILABLE, None)
    assert [other.status for other in open_ones] == [None, None]


@pytest.mark.parametrize("call", ["submit", "on_attempt_end"])
def test_exception_in_the_balancer_fails_one_work_item_only(call, monkeypatch):
    rig = RouterRig()
    original = getattr(rig.router.balancer, call)

    def faulty(*arguments, **fields):
        monkeypatch.setattr(rig.router.balancer, call, original)
        raise ZeroDivisionError

    monkeypatch.setattr(rig.router.balancer, call, faulty)
    pending, _ = rig.submit()
    if call == "on_attempt_end":
        rig.nth_exchange().on_reply(Reply(Outcome.RESET))
    # It is unknown whether it ran, so this is no deferral.
    assert rig.status_of(pending) is HTTPStatus.BAD_GATEWAY
    sent = len(rig.pools.exchanges)
    other, _ = rig.submit()
    rig.nth_exchange(sent + 1).on_reply(Reply(Outcome.FINISHED, report={}))
    assert rig.status_of(other) is HTTPStatus.OK
    assert rig.counters["faults"] == 1


def test_failed_act_does_not_affect_other_work_items(monkeypatch):
    rig = RouterRig()
    original = rig.pools.send

    def faulty(backend, exchange):
        monkeypatch.setattr(rig.pools, "send", original)
        raise ZeroDivisionError

    monkeypatch.setattr(rig.pools, "send", faulty)
    pending, _ = rig.submit("write")
    # It was never sent, so even an exclusive one may be retried.
    rig.nth_exchange().on_reply(Reply(Outcome.FINISHED))
    assert rig.status_of(pending) is HTTPStatus.OK


def test_due_timer_runs_before_queued_events():
    rig = RouterRig()
    order = []
    rig.router._on_wake = lambda: (order.append("wake"), setattr(rig.router, "wake_at", None))
    for _ in range(3):
        rig.router.queue.put((lambda: order.append("event"), ()))
    rig.router.wake_at = rig.clock.now()
    assert wait_until(lambda: len(order) == 4)
    assert order[0] == "wake"


def test_reported_duration_excludes_time_in_the_queue(monkeypatch):
    rig = RouterRig()
    durations = []
    original = rig.router.balancer.on_attempt_end

    def on_attempt_end(now, id, number, outcome, duration, **fields):
        durations.append(duration)
        return original(now, id, number, outcome, duration, **fields)

    monkeypatch.setattr(rig.router.balancer, "on_attempt_end", on_attempt_end)
    pending, _ = rig.submit()
    exchange = rig.nth_exchange()
    gevent.sleep(0.01)  # longer than the duration that the reply reports
    exchange.on_reply(Reply(Outcome.FINISHED, duration=7))
    rig.status_of(pending)
    assert wait_until(lambda: durations == [7])


def test_concurrent_requests_get_their_own_answers():
    rig = RouterRig()
    answers = [rig.submit()[0] for _ in range(2)]
    for n, body in enumerate((b"one", b"two")):
        rig.nth_exchange(n + 1).on_reply(Reply(Outcome.FINISHED, body))
    assert wait_until(lambda: all(pending.status for pending in answers))
    assert [pending.body for pending in answers] == [b"one", b"two"]


def test_expiry_counts_from_reading_and_leaves_a_transit_margin():
    rig = RouterRig()
    at = rig.clock.now()
    pending, _ = rig.submit(wait=1_000, at=at)
    assert rig.nth_exchange().deadline <= at + 1_000 - TRANSIT_MARGIN_TENTHS
    assert pending.deadline == at + 1_000


@pytest.mark.parametrize(("lag", "room"), [(10, 0), (200, 200)])
def test_event_loop_lag_shortens_the_deadline(lag, room):
    rig = RouterRig()
    rig.router.lag = lag
    at = rig.clock.now()
    rig.submit(wait=5_000, at=at)
    left = at + 5_000 - TRANSIT_MARGIN_TENTHS - rig.nth_exchange().deadline
    # A small lag isn't corrected: first tries are told from repeats by how long the client waits.
    assert room <= left < room + 100


def test_default_timeout_is_that_of_the_category():
    rig = RouterRig()
    pending, _ = rig.submit(wait=None, at=5)
    assert pending.deadline == 5 + 2 * SECOND


@pytest.mark.parametrize("lifecycle", [Lifecycle.DRAINING, Lifecycle.GONE])
def test_draining_and_gone_backends_lose_their_pools(lifecycle):
    rig = RouterRig()
    rig.router.update_catalogue(
        CatalogueUpdate(2, False, [Listing("b0", lifecycle=lifecycle)], {"b0": ADDRESS})
    )
    assert wait_until(lambda: set(rig.pools.pools) == {"b1"})
    for _ in range(2):
        rig.submit()
    assert rig.nth_exchange(2)
    assert set(rig.pools.sent_to) == {"b1"}


def test_full_list_removes_backends_that_it_does_not_name():
    rig = RouterRig()
    rig.router.update_catalogue(CatalogueUpdate(2, True, [Listing("b1")], {"b1": ADDRESS}))
    assert wait_until(lambda: set(rig.pools.pools) == {"b1"})


def test_balancer_subscribes_again_after_discovery_is_lost():
    rig = RouterRig(rules__ask_within=160)
    rig.router.discovery_lost()
    assert wait_until(lambda: rig.subscriptions)


def test_invariants_are_asserted_in_debug_runs():
    with pytest.raises(AssertionError):
        Counters().check_invariant(False, "never")


def test_request_id_of_an_open_request_is_rejected():
    rig = RouterRig()
    pending, _ = rig.submit(name=b"r")
    rig.nth_exchange()
    # A backend couldn't tell them apart; a deferral would promise that neither runs.
    twin, id = rig.submit(name=b"r")
    assert (id, twin.status, pending.status) == (None, HTTPStatus.CONFLICT, None)
    rig.nth_exchange().on_reply(Reply(Outcome.FINISHED, b""))
    assert rig.status_of(pending) is HTTPStatus.OK
    again, _ = rig.submit(name=b"r")
    rig.nth_exchange(2).on_reply(Reply(Outcome.FINISHED, b""))
    assert rig.status_of(again) is HTTPStatus.OK


def test_unknown_category_is_rejected():
    rig = RouterRig()
    pending, id = rig.submit(category="nonsense")
    assert (id, pending.status) == (None, HTTPStatus.BAD_REQUEST)
    gevent.sleep(0.01)
    assert not rig.pools.exchanges


def test_cordon_runs_before_queued_events_and_removes_the_pool(monkeypatch):
    rig = RouterRig()
    order = []
    original = rig.router.balancer.cordon
    monkeypatch.setattr(rig.router.balancer, "cordon", lambda *a: (order.append("cordon"), original(*a))[1])

    def busy():
        order.append("event")

    # The command must not wait until the queue is empty.
    for _ in range(3):
        rig.router.queue.put((busy, ()))
    rig.router.queue.put((lambda: order.append("last"), ()))
    assert rig.router.cordon("b0")
    assert sorted(rig.pools.pools) == ["b1"]
    assert order[0] == "cordon" and wait_until(lambda: len(order) == 5)
    # The list names it as running at another address: it stays cordoned and is reached there afterwards.
    moved = CatalogueUpdate(2, False, [Listing("b0", zone=0)], {"b0": ("127.0.0.1", 10)})
    rig.router.update_catalogue(moved)
    gevent.sleep(0.01)
    assert sorted(rig.pools.pools) == ["b1"]
    assert rig.router.uncordon("b0")
    assert rig.pools.pools["b0"] == ("127.0.0.1", 10)
    assert not rig.router.cordon("b9") and not rig.router.uncordon("b9")


def test_abandoned_command_is_not_carried_out(monkeypatch):
    rig = RouterRig()
    monkeypatch.setattr(rig.router, "_run_commands", lambda: None)  # too busy
    with pytest.raises(gevent.Timeout), gevent.Timeout(0.01):
        rig.router.cordon("b0")
    assert not rig.router.commands


def test_unwritten_attempt_at_a_cordoned_backend_goes_elsewhere():
    rig = RouterRig()
    pending, _ = rig.submit("write")
    first = rig.nth_exchange()
    went = rig.pools.sent_to[0]
    assert rig.router.cordon(went)
    # As its pool does with an exchange that isn't written yet.
    first.on_reply(Reply(Outcome.UNSENT))
    rig.nth_exchange(2).on_reply(Reply(Outcome.FINISHED, report={}))
    assert rig.pools.sent_to[1] != went
    assert rig.status_of(pending) is HTTPStatus.OK


@pytest.mark.parametrize("category", ["read", "write"])
def test_work_is_deferred_if_all_backends_are_cordoned(category):
    rig = RouterRig()
    assert rig.router.cordon("b0") and rig.router.cordon("b1")
    pending, _ = rig.submit(category)
    assert rig.status_of(pending) is HTTPStatus.SERVICE_UNAVAILABLE
