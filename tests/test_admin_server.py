import gevent
import pytest
from gevent import socket
from helpers import Peer, until

from nettledeal.net.counters import Counters
from nettledeal.net.protocol import admin_commands
from nettledeal.net.protocol.admin_commands import AdminCommand, CommandRefused
from nettledeal.net.transport import admin_server as admin_server_module
from nettledeal.net.transport.admin_server import AdminServer


@pytest.mark.parametrize(
    ("line", "order"),
    [
        (b"health", AdminCommand("health")),
        (b"health\r", AdminCommand("health")),
        (b"  cordon   s-1 ", AdminCommand("cordon", "s-1")),
        (b"uncordon s-1\r", AdminCommand("uncordon", "s-1")),
        (b"quiesce", AdminCommand("quiesce")),
        (b"resume", AdminCommand("resume")),
    ],
)
def test_lines_that_are_orders(line, order):
    assert admin_commands.parse_command(line) == order


BAD = [
    b"",
    b"   ",
    b"\r",
    b"cordon",
    b"cordon a b",
    b"health now",
    b"quiesce 1",
    b"HEALTH",
    b"drop s-1",
    b"\xff\xfe",
    b"cordon s\xc3\xa9",
    b"cordon a\x00b",
    b"cordon \x1b[2J",
]


@pytest.mark.parametrize("line", BAD)
def test_lines_that_are_none(line):
    with pytest.raises(CommandRefused):
        admin_commands.parse_command(line)


def test_an_answer_is_one_line_whatever_it_says():
    assert admin_commands.format_error("two\nlines\r\nand é") == b"-ERR two lines and ?\n"
    assert admin_commands.format_ok() == b"+OK\n"


class Desk:
    def __init__(self, carry_out=None):
        self.carried = []
        self.counters = Counters()
        self.admin_server = AdminServer(("127.0.0.1", 0), self.counters, carry_out or self._carry)
        gevent.spawn(self.admin_server.run)

    def _carry(self, order):
        self.carried.append(order)
        return order.argument

    def connect(self):
        return Peer(socket.create_connection(self.admin_server.sock.getsockname()))

    def call(self, text):
        return self.connect().send(text).hear(end=b"never")


def test_an_order_is_answered_once_it_is_carried_out():
    desk = Desk()
    assert desk.call(b"cordon s-1\r\n") == b"+OK s-1\n"
    assert desk.carried == [AdminCommand("cordon", "s-1")]


@pytest.mark.parametrize(
    "text", [line + b"\n" for line in BAD] + [b"cordon " + 600 * b"s", b"health\nhealth\n", b"cordon s\nx"]
)
def test_what_is_no_order_gets_a_no_and_changes_nothing(text):
    desk = Desk()
    assert desk.call(text).startswith(b"-ERR ")
    assert not desk.carried


@pytest.mark.parametrize("text", [b"", b"cordon s-", b"health"])
def test_half_a_line_and_a_close_change_nothing(text):
    desk = Desk()
    caller = desk.connect().send(text)
    caller.sock.shutdown(socket.SHUT_WR)
    assert caller.hear(end=b"never")[:4] in (b"", b"-ERR")
    assert not desk.carried


def test_a_line_may_come_in_pieces():
    desk = Desk()
    caller = desk.connect()
    for n in b"cordon s-1\n":
        caller.send(bytes((n,)))
        gevent.sleep(0)
    assert caller.hear(end=b"never") == b"+OK s-1\n"


def test_silent_callers_keep_nobody_out_and_hold_no_more_than_their_places():
    desk = Desk()
    silent = [desk.connect() for _ in range(3 * admin_server_module.MAX_ADMIN_CALLERS)]
    assert desk.call(b"health\n") == b"+OK\n"
    assert until(lambda: desk.admin_server.open_callers <= admin_server_module.MAX_ADMIN_CALLERS)
    assert silent[0].hear(end=b"never") == b""


def test_a_silent_caller_is_let_go_in_time(monkeypatch):
    monkeypatch.setattr(admin_server_module, "LINE_TIMEOUT_S", 0.01)
    desk = Desk()
    assert desk.connect().hear(end=b"never") == b""
    assert until(lambda: not desk.admin_server.open_callers)


def test_an_order_that_is_not_done_in_time_is_refused(monkeypatch):
    monkeypatch.setattr(admin_server_module, "COMMAND_TIMEOUT_S", 0.01)
    desk = Desk(carry_out=lambda order: gevent.sleep(5))
    assert desk.call(b"quiesce\n").startswith(b"-ERR ")


def test_a_fault_in_an_order_is_told_and_the_door_stays():
    def faulty(order):
        raise ZeroDivisionError

    desk = Desk(carry_out=faulty)
    assert desk.call(b"quiesce\n").startswith(b"-ERR ")
    assert desk.call(b"health\n").startswith(b"-ERR ")
    assert desk.counters["faults"] == 2
