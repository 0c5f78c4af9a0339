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
CONFIG = {
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


def config_with(path, value, *more):
    config = json.loads(json.dumps(CONFIG))
    for at, what in ((path, value), *more):
        *way, last = at.split(".")
        inner = config
        for key in way:
            inner = inner[int(key)] if key.isdigit() else inner.setdefault(key, {})
        inner[last] = what
    return json.dumps(config).encode()


def test_settings_are_flattened_with_internal_names_and_units():
    config = parse_configuration(json.dumps(CONFIG).encode(), {})
    assert config.settings["allowed.conn_idle"] == 600_000
    assert config.settings["categories.count"] == 1
    assert config.settings["categories.0.effect"] == "exclusive"
    assert config.settings["categories.0.due_time"] == 3_000
    assert (config.text_list("zones"), config.text_list("projects")) == (["a", "b"], [])
    assert (config.indices_by_name("categories"), config.indices_by_name("projects")) == ({"b": 0}, {})
    assert config.seed == 0x8C1F30D27A5BE964


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
def test_error_names_the_key(path, value, key):
    raw = config_with(path, value)
    with pytest.raises(ConfigError, match=f"^{key}: ") as fault:
        parse_configuration(raw, {})
    assert "\n" not in str(fault.value)


@pytest.mark.parametrize(
    ("environment", "key"), [({}, "EDGE_CONFIG"), ({"EDGE_CONFIG": "/nowhere/at.all"}, "EDGE_CONFIG")]
)
def test_unreadable_file_is_an_error(environment, key):
    with pytest.raises(ConfigError, match=f"^{key}: "):
        read_configuration(environment)


def test_missing_keys_come_from_the_environment_or_have_defaults():
    config = parse_configuration(
        b"{}", {"EDGE_NAME": "n9", "EDGE_LISTEN": "127.0.0.1:1", "EDGE_DISCOVERY": "127.0.0.1:2"}
    )
    assert (config.name, config.listen, config.discovery) == ("n9", ("127.0.0.1", 1), ("127.0.0.1", 2))
    assert config.sockets and config.memory_mb and not config.settings
    assert parse_address_key("listen", "[::1]:80") == ("::1", 80)


def start_agent(tmp_path, raw, **environment):
    file = tmp_path / "config.json"
    file.write_bytes(raw)
    return subprocess.Popen(
        [sys.executable, "-O", "-m", "nettledeal"],
        env={**os.environ, "PYTHONPATH": SRC, "EDGE_CONFIG": str(file), **environment},
        stderr=subprocess.PIPE,
        text=True,
    )


def test_invalid_configuration_exits_with_2_and_one_line(tmp_path):
    agent = start_agent(tmp_path, config_with("settings.zone", "x"))
    _, log = agent.communicate(timeout=20)
    assert agent.returncode == 2
    assert log.startswith("nettledeal: settings.zone: ")
    assert log.count("\n") == 1


def test_admin_port_takes_commands_and_a_second_agent_fails_to_bind_it(tmp_path):
    server = ScriptedServer(reply_script(response_bytes(b"from afar")))
    entry = {"instanceId": "s1", "hostPort": format_address(server.address), "zone": "a"}
    listen_address, admin_address = free_address(), free_address()
    config = {
        **CONFIG,
        "known": {"generation": 1, "reset": True, "instances": [entry]},
        "listen": format_address(listen_address),
        "discovery": "127.0.0.1:1",
        "admin_addr": format_address(admin_address),
    }
    agent = start_agent(tmp_path, json.dumps(config).encode())

    def send_admin_command(text):
        return (
            PeerConnection(socket.create_connection(admin_address))
            .send(text + b"\n")
            .receive_message(end=b"never")
        )

    try:
        assert "started" in agent.stderr.readline()
        assert send_admin_command(b"health").startswith(b"+OK")
        other = start_agent(tmp_path, json.dumps(config).encode())
        _, log = other.communicate(timeout=20)
        assert (other.returncode, log.count("\n")) == (2, 1)
        assert log.startswith("nettledeal: admin_addr: ")
        client = PeerConnection(socket.create_connection(listen_address))
        assert send_admin_command(b"cordon s9").startswith(b"-ERR")
        assert send_admin_command(b"cordon s1").startswith(b"+OK")
        assert client.send(request_bytes()).receive_message().startswith(b"HTTP/1.1 503 ")
        assert send_admin_command(b"uncordon s1").startswith(b"+OK")
        # The only backend is cold, so it accepts only as many requests as its warm-up allows.
        assert wait_until(lambda: client.send(request_bytes(b"r2")).receive_message().endswith(b"from afar"))
        assert send_admin_command(b"quiesce").startswith(b"+OK")
        health = b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n"
        assert client.send(health).receive_message().startswith(b"HTTP/1.1 503 ")
        assert send_admin_command(b"health").startswith(b"+OK")
        assert send_admin_command(b"resume").startswith(b"+OK")
        assert (
            PeerConnection(socket.create_connection(listen_address))
            .send(health)
            .receive_message()
            .startswith(b"HTTP/1.1 200 ")
        )
    finally:
        agent.kill()
        agent.stderr.close()


def test_sigterm_drains_and_exits_with_0(tmp_path):
    release_backend = Event()

    def script(peer):
        while heard := peer.receive_message():
            if b"ID: slow" in heard:
                reached.append(heard)
                release_backend.wait()
            peer.send(response_bytes(b"from afar"))

    reached = []
    server = ScriptedServer(script)
    entry = {"instanceId": "s1", "hostPort": format_address(server.address), "zone": "a"}
    config = {**CONFIG, "known": {"generation": 1, "reset": True, "instances": [entry]}}
    listen_address = free_address()
    config |= {"listen": format_address(listen_address), "discovery": "127.0.0.1:1"}
    agent = start_agent(tmp_path, json.dumps(config).encode())
    try:
        assert "started" in agent.stderr.readline()
        client = PeerConnection(socket.create_connection(listen_address))
        assert client.send(request_bytes()).receive_message().endswith(b"from afar")
        slow = PeerConnection(socket.create_connection(listen_address)).send(request_bytes(b"slow"))
        assert wait_until(lambda: reached)
        agent.send_signal(signal.SIGTERM)
        assert "stopping" in agent.stderr.readline()
        # Clients that don't know of the shutdown yet are served, and their connections are closed.
        late = (
            PeerConnection(socket.create_connection(listen_address))
            .send(request_bytes(b"r2"))
            .receive_message()
        )
        assert late.endswith(b"from afar") and b"Connection: close" in late
        assert client.receive_message() == b""
        # An open request is answered even after its category's expiry, and its connection is closed.
        gevent.sleep(1.5)
        release_backend.set()
        assert b"Connection: close" in (answer := slow.receive_message()) and answer.endswith(b"from afar")
        assert agent.wait(timeout=20) == 0
    finally:
        agent.kill()
        agent.stderr.close()


def wait_until_signals_are_blocked(agent):
    """Wait until SIGHUP, SIGINT and SIGTERM are blocked, so that early signals stay pending."""
    assert wait_until(
        lambda: "SigBlk:\t0000000000004003" in Path(f"/proc/{agent.pid}/status").read_text(), 20
    )


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_during_the_start_is_handled_after_it(tmp_path, number):
    listen_address = free_address()
    config = {**CONFIG, "listen": format_address(listen_address), "discovery": "127.0.0.1:1"}
    agent = start_agent(tmp_path, json.dumps(config).encode())
    try:
        wait_until_signals_are_blocked(agent)
        agent.send_signal(number)
        assert "started" in agent.stderr.readline()
        # A client that connected meanwhile is served before the agent stops.
        client = PeerConnection(socket.create_connection(listen_address)).send(
            b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n"
        )
        assert client.receive_message().startswith(b"HTTP/1.1 200 ")
        assert agent.wait(timeout=20) == 0
    finally:
        agent.kill()
        agent.stderr.close()


def test_clients_that_keep_connecting_do_not_delay_the_shutdown(tmp_path):
    release_backend = Event()
    server = ScriptedServer(
        lambda peer: (
            peer.receive_message() and release_backend.wait() and peer.send(response_bytes(b"from afar"))
        )
    )
    entry = {"instanceId": "s1", "hostPort": format_address(server.address), "zone": "a"}
    listen_address = free_address()
    config = {
        **CONFIG,
        "known": {"generation": 1, "reset": True, "instances": [entry]},
        "listen": format_address(listen_address),
        "discovery": "127.0.0.1:1",
    }
    agent = start_agent(tmp_path, json.dumps(config).encode())
    try:
        assert "started" in agent.stderr.readline()
        slow = PeerConnection(socket.create_connection(listen_address)).send(request_bytes(b"slow"))
        assert wait_until(lambda: server.peers)
        agent.send_signal(signal.SIGTERM)

        def refused():
            # Connections are accepted for a while during the shutdown, and refused from then on.
            try:
                socket.create_connection(listen_address).close()
            except ConnectionRefusedError:
                return True
            return False

        assert wait_until(refused)
        release_backend.set()
        assert slow.receive_message().endswith(b"from afar")
        assert agent.wait(timeout=20) == 0
    finally:
        agent.kill()
        agent.stderr.close()


def test_reload_changes_the_discovery_address_and_an_invalid_file_changes_nothing(tmp_path):
    def entry(address):
        return {"instanceId": "s1", "hostPort": format_address(address), "zone": "a"}

    def discovery(server):
        whole = {"generation": 1, "reset": True, "instances": [entry(server.address)]}
        return ScriptedServer(
            reply_script(response_bytes(json.dumps(whole).encode())),
            lambda peer: peer.receive_message() and gevent.sleep(60),
        )

    server = ScriptedServer(reply_script(response_bytes(b"first")))
    lists = [discovery(server), discovery(ScriptedServer(reply_script(response_bytes(b"second"))))]
    listen_address = free_address()
    config = {
        **CONFIG,
        "listen": format_address(listen_address),
        "discovery": format_address(lists[0].address),
    }
    agent = start_agent(tmp_path, json.dumps(config).encode())
    wait_until_signals_are_blocked(agent)
    agent.send_signal(signal.SIGHUP)
    try:
        assert "started" in agent.stderr.readline()
        assert "reloaded" in agent.stderr.readline()
        assert wait_until(lambda: len(lists[0].peers) == 2)
        client = PeerConnection(socket.create_connection(listen_address))
        assert client.send(request_bytes()).receive_message().endswith(b"first")
        file = tmp_path / "config.json"
        file.write_bytes(config_with("discovery", "nowhere"))
        agent.send_signal(signal.SIGHUP)
        refused = agent.stderr.readline()
        assert "refused" in refused and "discovery: " in refused
        assert client.send(request_bytes(b"r2")).receive_message().endswith(b"first")
        config |= {"discovery": format_address(lists[1].address)}
        config["limits"] = CONFIG["limits"] | {"sockets": 128}
        file.write_text(json.dumps(config))
        for _ in range(3):
            agent.send_signal(signal.SIGHUP)
        assert '"sockets"' in agent.stderr.readline()
        assert wait_until(lambda: len(lists[1].peers) == 2)
        # The connection stays open, and requests reach the backend at its new address.
        assert wait_until(lambda: client.send(request_bytes(b"r3")).receive_message().endswith(b"second"))
        agent.send_signal(signal.SIGTERM)
        agent.send_signal(signal.SIGHUP)
        assert agent.wait(timeout=20) == 0
    finally:
        agent.kill()
        agent.stderr.close()
