import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import gevent
import pytest
from gevent.event import Event
from helpers import (
    PeerConnection,
    ScriptedServer,
    free_address,
    reply_script,
    request_bytes,
    response_bytes,
    socket,
    wait_until,
)

from nettledeal.configuration import parse_configuration, read_configuration
from nettledeal.configuration_files import ConfigError, parse_address_key
from nettledeal.net.address import format_address

SRC = str(Path(__file__).parents[1] / "src")
TOLD = {
    "name": "n1",
    "listen": "127.0.0.1:7070",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
    "settings": {
        "zone": 0,
        "zones": ["a", "b"],
        "projects": [],
        "allowed": {"conn_idle": 60_000_000_000, "may_duplicate": False, "max_open": 100},
        "categories": [{"name": "b", "effect": "unsafe", "expiry": 750_000_000, "due_time": 300_050_000}],
    },
}


def changed(path, value, *more):
    told = json.loads(json.dumps(TOLD))
    for at, what in ((path, value), *more):
        *way, last = at.split(".")
        inner = told
        for key in way:
            inner = inner[int(key)] if key.isdigit() else inner.setdefault(key, {})
        inner[last] = what
    return json.dumps(told).encode()


def test_settings_become_a_plain_map_in_the_projects_words_and_units():
    told = parse_configuration(json.dumps(TOLD).encode(), {})
    assert told.settings["allowed.conn_idle"] == 600_000
    assert told.settings["categories.count"] == 1
    assert told.settings["categories.0.effect"] == "exclusive"
    assert told.settings["categories.0.due_time"] == 3_000
    assert (told.text_list("zones"), told.text_list("projects")) == (["a", "b"], [])
    assert (told.indices_by_name("categories"), told.indices_by_name("projects")) == ({"b": 0}, {})
    assert told.seed == 0x8C1F30D27A5BE964


@pytest.mark.parametrize(
    ("path", "value", "key"),
    [
        ("settings.categories.0.effect", 7, "settings.categories.0.effect"),
        ("settings.categories.0.group", "town", "settings.categories.0.group"),
        ("limits.sockets", "many", "limits.sockets"),
        ("limits.sockets", 3, "limits.sockets"),
        ("limits.memory_mb", 1, "limits.memory_mb"),
        ("listen", "here", "listen"),
        ("listen", "", "listen"),
        ("discovery", "127.0.0.1:99999", "discovery"),
        ("admin_addr", "here", "admin_addr"),
        ("seed", "xyz", "seed"),
        ("log_level", "loud", "log_level"),
        ("settings.zone", -1, "settings.zone"),
        ("settings.allowed.conn_idle", "long", "settings.allowed.conn_idle"),
        ("settings.allowed.may_duplicate", 1, "settings.allowed.may_duplicate"),
        ("settings.allowed.max_open", True, "settings.allowed.max_open"),
        ("settings.categories.0.expiry", 7.5, "settings.categories.0.expiry"),
    ],
)
def test_faults_name_the_key(path, value, key):
    raw = changed(path, value)
    with pytest.raises(ConfigError, match=f"^{key}: ") as fault:
        parse_configuration(raw, {})
    assert "\n" not in str(fault.value)


@pytest.mark.parametrize(
    ("environment", "key"), [({}, "EDGE_CONFIG"), ({"EDGE_CONFIG": "/nowhere/at.all"}, "EDGE_CONFIG")]
)
def test_a_file_that_cannot_be_read(environment, key):
    with pytest.raises(ConfigError, match=f"^{key}: "):
        read_configuration(environment)


def test_what_the_file_leaves_out_is_taken_from_the_environment_or_has_a_default():
    told = parse_configuration(
        b"{}", {"EDGE_NAME": "n9", "EDGE_LISTEN": "127.0.0.1:1", "EDGE_DISCOVERY": "127.0.0.1:2"}
    )
    assert (told.name, told.listen, told.discovery) == ("n9", ("127.0.0.1", 1), ("127.0.0.1", 2))
    assert told.sockets and told.memory_mb and not told.settings
    assert parse_address_key("listen", "[::1]:80") == ("::1", 80)


def start(tmp_path, raw, **environment):
    file = tmp_path / "config.json"
    file.write_bytes(raw)
    return subprocess.Popen(
        [sys.executable, "-O", "-m", "nettledeal"],
        env={**os.environ, "PYTHONPATH": SRC, "EDGE_CONFIG": str(file), **environment},
        stderr=subprocess.PIPE,
        text=True,
    )


def test_a_fault_ends_the_program_with_2_and_one_line(tmp_path):
    agent = start(tmp_path, changed("settings.zone", "x"))
    _, log = agent.communicate(timeout=20)
    assert agent.returncode == 2
    assert log.startswith("nettledeal: settings.zone: ")
    assert log.count("\n") == 1


def test_a_door_that_cannot_be_opened_ends_the_start_and_an_open_one_takes_orders(tmp_path):
    server = ScriptedServer(reply_script(response_bytes(b"from afar")))
    entry = {"instanceId": "s1", "hostPort": format_address(server.address), "zone": "a"}
    place, door = free_address(), free_address()
    told = {
        **TOLD,
        "known": {"generation": 1, "reset": True, "instances": [entry]},
        "listen": format_address(place),
        "discovery": "127.0.0.1:1",
        "admin_addr": format_address(door),
    }
    agent = start(tmp_path, json.dumps(told).encode())

    def call(text):
        return PeerConnection(socket.create_connection(door)).send(text + b"\n").receive_message(end=b"never")

    try:
        assert "started" in agent.stderr.readline()
        assert call(b"health").startswith(b"+OK")
        other = start(tmp_path, json.dumps(told).encode())
        _, log = other.communicate(timeout=20)
        assert (other.returncode, log.count("\n")) == (2, 1)
        assert log.startswith("nettledeal: admin_addr: ")
        client = PeerConnection(socket.create_connection(place))
        assert call(b"cordon s9").startswith(b"-ERR")
        assert call(b"cordon s1").startswith(b"+OK")
        assert client.send(request_bytes()).receive_message().startswith(b"HTTP/1.1 503 ")
        assert call(b"uncordon s1").startswith(b"+OK")
        # Cold, and the only one: it takes what it bears.
        assert wait_until(lambda: client.send(request_bytes(b"r2")).receive_message().endswith(b"from afar"))
        assert call(b"quiesce").startswith(b"+OK")
        health = b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n"
        assert client.send(health).receive_message().startswith(b"HTTP/1.1 503 ")
        assert call(b"health").startswith(b"+OK")
        assert call(b"resume").startswith(b"+OK")
        assert (
            PeerConnection(socket.create_connection(place))
            .send(health)
            .receive_message()
            .startswith(b"HTTP/1.1 200 ")
        )
    finally:
        agent.kill()
        agent.stderr.close()


def test_it_serves_and_ends_with_0_when_told_to(tmp_path):
    told_to_end = Event()

    def script(peer):
        while heard := peer.receive_message():
            if b"ID: slow" in heard:
                reached.append(heard)
                told_to_end.wait()
            peer.send(response_bytes(b"from afar"))

    reached = []
    server = ScriptedServer(script)
    entry = {"instanceId": "s1", "hostPort": format_address(server.address), "zone": "a"}
    told = {**TOLD, "known": {"generation": 1, "reset": True, "instances": [entry]}}
    place = free_address()
    told |= {"listen": format_address(place), "discovery": "127.0.0.1:1"}
    agent = start(tmp_path, json.dumps(told).encode())
    try:
        assert "started" in agent.stderr.readline()
        client = PeerConnection(socket.create_connection(place))
        assert client.send(request_bytes()).receive_message().endswith(b"from afar")
        slow = PeerConnection(socket.create_connection(place)).send(request_bytes(b"slow"))
        assert wait_until(lambda: reached)
        agent.send_signal(signal.SIGTERM)
        assert "stopping" in agent.stderr.readline()
        # Clients that have not heard of it yet are served, and sent away.
        late = PeerConnection(socket.create_connection(place)).send(request_bytes(b"r2")).receive_message()
        assert late.endswith(b"from afar") and b"Connection: close" in late
        assert client.receive_message() == b""
        # What was out is answered, though it takes longer than its category's expiry, and told of the end.
        gevent.sleep(1.5)
        told_to_end.set()
        assert b"Connection: close" in (answer := slow.receive_message()) and answer.endswith(b"from afar")
        assert agent.wait(timeout=20) == 0
    finally:
        agent.kill()
        agent.stderr.close()


def blocked(agent):
    """Before anything else is done hang-up, interrupt and termination are: what comes early is kept."""
    assert wait_until(
        lambda: "SigBlk:\t0000000000004003" in Path(f"/proc/{agent.pid}/status").read_text(), 20
    )


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_an_order_to_end_amid_the_start_is_followed_once_it_can_be(tmp_path, number):
    place = free_address()
    told = {**TOLD, "listen": format_address(place), "discovery": "127.0.0.1:1"}
    agent = start(tmp_path, json.dumps(told).encode())
    try:
        blocked(agent)
        agent.send_signal(number)
        assert "started" in agent.stderr.readline()
        # Whoever came meanwhile is met before the end.
        client = PeerConnection(socket.create_connection(place)).send(
            b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n"
        )
        assert client.receive_message().startswith(b"HTTP/1.1 200 ")
        assert agent.wait(timeout=20) == 0
    finally:
        agent.kill()
        agent.stderr.close()


def test_clients_that_go_on_coming_do_not_put_off_the_end(tmp_path):
    told_to_end = Event()
    server = ScriptedServer(
        lambda peer: peer.receive_message() and told_to_end.wait() and peer.send(response_bytes(b"from afar"))
    )
    entry = {"instanceId": "s1", "hostPort": format_address(server.address), "zone": "a"}
    place = free_address()
    told = {
        **TOLD,
        "known": {"generation": 1, "reset": True, "instances": [entry]},
        "listen": format_address(place),
        "discovery": "127.0.0.1:1",
    }
    agent = start(tmp_path, json.dumps(told).encode())
    try:
        assert "started" in agent.stderr.readline()
        slow = PeerConnection(socket.create_connection(place)).send(request_bytes(b"slow"))
        assert wait_until(lambda: server.peers)
        agent.send_signal(signal.SIGTERM)

        def refused():
            # They are met while the end is not known everywhere, and then go to where they are served.
            try:
                socket.create_connection(place).close()
            except ConnectionRefusedError:
                return True
            return False

        assert wait_until(refused)
        told_to_end.set()
        assert slow.receive_message().endswith(b"from afar")
        assert agent.wait(timeout=20) == 0
    finally:
        agent.kill()
        agent.stderr.close()


def test_an_order_to_reload_moves_the_watch_and_a_bad_file_changes_nothing(tmp_path):
    def entry(place):
        return {"instanceId": "s1", "hostPort": format_address(place), "zone": "a"}

    def discovery(server):
        whole = {"generation": 1, "reset": True, "instances": [entry(server.address)]}
        return ScriptedServer(
            reply_script(response_bytes(json.dumps(whole).encode())),
            lambda peer: peer.receive_message() and gevent.sleep(60),
        )

    server = ScriptedServer(reply_script(response_bytes(b"first")))
    lists = [discovery(server), discovery(ScriptedServer(reply_script(response_bytes(b"second"))))]
    place = free_address()
    told = {**TOLD, "listen": format_address(place), "discovery": format_address(lists[0].address)}
    agent = start(tmp_path, json.dumps(told).encode())
    blocked(agent)
    agent.send_signal(signal.SIGHUP)
    try:
        assert "started" in agent.stderr.readline()
        assert "reloaded" in agent.stderr.readline()
        assert wait_until(lambda: len(lists[0].peers) == 2)
        client = PeerConnection(socket.create_connection(place))
        assert client.send(request_bytes()).receive_message().endswith(b"first")
        file = tmp_path / "config.json"
        file.write_bytes(changed("discovery", "nowhere"))
        agent.send_signal(signal.SIGHUP)
        refused = agent.stderr.readline()
        assert "refused" in refused and "discovery: " in refused
        assert client.send(request_bytes(b"r2")).receive_message().endswith(b"first")
        told |= {"discovery": format_address(lists[1].address)}
        told["limits"] = TOLD["limits"] | {"sockets": 128}
        file.write_text(json.dumps(told))
        for _ in range(3):
            agent.send_signal(signal.SIGHUP)
        assert '"sockets"' in agent.stderr.readline()
        assert wait_until(lambda: len(lists[1].peers) == 2)
        # Its connection, its memory and its backend's new place.
        assert wait_until(lambda: client.send(request_bytes(b"r3")).receive_message().endswith(b"second"))
        agent.send_signal(signal.SIGTERM)
        agent.send_signal(signal.SIGHUP)
        assert agent.wait(timeout=20) == 0
    finally:
        agent.kill()
        agent.stderr.close()
