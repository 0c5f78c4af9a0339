import gevent
import pytest
from gevent import socket
from helpers import PeerConnection, wait_until

from nettledeal.net.counters import Counters
from nettledeal.net.protocol import admin_commands
from nettledeal.net.protocol.admin_commands import AdminCommand, CommandRefused
from nettledeal.net.transport import admin_server as admin_server_module
from nettledeal.net.transport.admin_server import AdminServer


@pytest.mark.parametrize(
    ("line", "command"),
    [
        (b"health", AdminCommand("health")),
        (b"health\r", AdminCommand("health")),
        (b"  cordon   s-1 ", AdminCommand("cordon", "s-1")),
        (b"uncordon s-1\r", AdminCommand("uncordon", "s-1")),
        (b"quiesce", AdminCommand("quiesce")),
        (b"resume", AdminCommand("resume")),
    ],
)
def test_valid_commands(line, command):
    assert admin_commands.parse_command(line) == command


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
def test_invalid_commands(line):
    with pytest.raises(CommandRefused):
        admin_commands.parse_command(line)


def test_answer_is_always_one_line():
    assert admin_commands.format_error("two\nlines\r\nand é") == b"-ERR two lines and ?\n"
    assert admin_commands.format_ok() == b"+OK\n"


class AdminRig:
    def __init__(self, carry_out=None):
        self.commands = []
        self.counters = Counters()
        self.admin_server = AdminServer(("127.0.0.1", 0), self.counters, carry_out or self._carry_out)
        gevent.spawn(self.admin_server.run)

    def _carry_out(self, command):
        self.commands.append(command)
        return command.argument

    def connect(self):
        return PeerConnection(socket.create_connection(self.admin_server.sock.getsockname()))

    def call(self, text):
        return self.connect().send(text).receive_message(end=b"never")


def test_command_is_answered_once_it_is_carried_out():
    rig = AdminRig()
    assert rig.call(b"cordon s-1\r\n") == b"+OK s-1\n"
    assert rig.commands == [AdminCommand("cordon", "s-1")]


@pytest.mark.parametrize(
    "text", [line + b"\n" for line in BAD] + [b"cordon " + 600 * b"s", b"health\nhealth\n", b"cordon s\nx"]
)
def test_invalid_command_is_refused(text):
    rig = AdminRig()
    assert rig.call(text).startswith(b"-ERR ")
    assert not rig.commands


@pytest.mark.parametrize("text", [b"", b"cordon s-", b"health"])
def test_incomplete_line_is_not_carried_out(text):
    rig = AdminRig()
    caller = rig.connect().send(text)
    caller.sock.shutdown(socket.SHUT_WR)
    assert caller.receive_message(end=b"never")[:4] in (b"", b"-ERR")
    assert not rig.commands


def test_line_may_arrive_in_pieces():
    rig = AdminRig()
    caller = rig.connect()
    for n in b"cordon s-1\n":
        caller.send(bytes((n,)))
        gevent.sleep(0)
    assert caller.receive_message(end=b"never") == b"+OK s-1\n"


def test_silent_callers_do_not_block_others():
    rig = AdminRig()
    silent = [rig.connect() for _ in range(3 * admin_server_module.MAX_ADMIN_CALLERS)]
    assert rig.call(b"health\n") == b"+OK\n"
    assert wait_until(lambda: rig.admin_server.open_callers <= admin_server_module.MAX_ADMIN_CALLERS)
    assert silent[0].receive_message(end=b"never") == b""


def test_silent_caller_is_disconnected(monkeypatch):
    monkeypatch.setattr(admin_server_module, "LINE_TIMEOUT_S", 0.01)
    rig = AdminRig()
    assert rig.connect().receive_message(end=b"never") == b""
    assert wait_until(lambda: not rig.admin_server.open_callers)


def test_command_not_carried_out_in_time_is_refused(monkeypatch):
    monkeypatch.setattr(admin_server_module, "COMMAND_TIMEOUT_S", 0.01)
    rig = AdminRig(carry_out=lambda command: gevent.sleep(5))
    assert rig.call(b"quiesce\n").startswith(b"-ERR ")


def test_exception_in_a_command_is_reported_and_the_port_stays_open():
    def faulty(command):
        raise ZeroDivisionError

    rig = AdminRig(carry_out=faulty)
    assert rig.call(b"quiesce\n").startswith(b"-ERR ")
    assert rig.call(b"health\n").startswith(b"-ERR ")
    assert rig.counters["faults"] == 2
