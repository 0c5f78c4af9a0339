"""Membership among real agent processes: counting agents, cordons, admin commands, and invalid settings."""

import json
import subprocess
import sys

import gevent
import pytest
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
from test_program import SRC, start_agent

from nettledeal import configuration, peers
from nettledeal.configuration_files import ConfigError
from nettledeal.membership.subsetting import assign_subsets
from nettledeal.net.address import format_address

CATEGORY = {"name": "b", "effect": "safe", "expiry": 4_000_000_000, "due_time": 1_000_000_000}


def test_subsets_are_computed_again_only_when_an_agent_or_backend_comes_or_goes(monkeypatch):
    computed = []

    def recording(agents, backends, width):
        computed.append((agents, backends, width))
        return assign_subsets(agents, backends, width)

    monkeypatch.setattr(peers, "assign_subsets", recording)
    peers.cached_subsets.cache_clear()
    agents, backends = ("a0", "a1", "a2"), tuple(f"b{n}" for n in range(9))
    first = peers.cached_subsets(agents, backends, 2)
    # Each check of the view asks for two groups of backends.
    for _ in range(3):
        assert peers.cached_subsets(agents, backends, 2) == first == assign_subsets(agents, backends, 2)
        peers.cached_subsets(agents, ("c0", "c1"), 1)
    assert len(computed) == 2
    assert peers.cached_subsets(agents[:2], backends, 2) == assign_subsets(agents[:2], backends, 2)
    assert peers.cached_subsets(agents, backends[1:], 2) == assign_subsets(agents, backends[1:], 2)
    assert len(computed) == 4


def addresses(count, host="127.77.0.{}"):
    """Addresses with one port that is free on all of these hosts, since nothing else uses them."""
    return [(host.format(1 + n), 7946) for n in range(count)]


class Agents:
    def __init__(self, tmp_path, count, backends):
        self.admins, self.listens, self.lines, self.processes, self.configs = [], [], [], [], []
        members = [(address[0], free_address()[1]) for address in addresses(count)]
        entries = [
            {
                "instanceId": f"s{n}",
                "hostPort": format_address(backend.address),
                "zone": "a",
                "startedAtMs": 0,
            }
            for n, backend in enumerate(backends)
        ]
        for n in range(count):
            folder = tmp_path / f"a{n}"
            folder.mkdir()
            self.admins.append(free_address())
            self.listens.append(free_address())
            config = {
                "name": f"a{n}",
                "listen": format_address(self.listens[n]),
                "discovery": "127.0.0.1:1",
                "seed": "5",
                "admin_addr": format_address(self.admins[n]),
                "log_level": "info",
                "known": {"generation": 1, "reset": True, "instances": entries},
                "membership": {
                    "listen": format_address(members[n]),
                    "seeds": [format_address(members[0])],
                    "period_ms": 200,
                    "probe_ms": 80,
                    "suspicion_ms": 1500,
                    "swap_s": 1,
                },
                "settings": {
                    "zone": 0,
                    "zones": ["a"],
                    "balancers": 50,
                    "categories": [CATEGORY],
                    "allowed": {"most_hand_offs": 2},
                },
            }
            self.configs.append((folder, config))
            self._start(n)

    def _start(self, n, **changes):
        folder, config = self.configs[n]
        process = start_agent(folder, json.dumps(config | changes).encode(), TMPDIR=str(folder))
        self.processes.append(process)
        self.lines.append([])
        pool = gevent.get_hub().threadpool
        pool.spawn(lambda own=self.lines[-1]: own.extend(iter(process.stderr.readline, "")))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.kill()
            process.wait()

    def admin_command(self, n, line):
        with socket.create_connection(self.admins[n]) as sock:
            sock.sendall(line.encode() + b"\n")
            return b"".join(iter(lambda: sock.recv(65536), b"")).decode()

    def members(self, n):
        answer = self.admin_command(n, "members")
        assert answer.startswith("+OK "), answer
        return json.loads(answer[4:])

    def logged(self, n, text):
        return [json.loads(line) for line in self.lines[n] if text in line]


def test_agents_count_each_other_and_a_cordon_given_to_one_applies_to_all(tmp_path):
    backends = [ScriptedServer(reply_script(response_bytes(b"s%d" % n))) for n in range(2)]
    with Agents(tmp_path, 3, backends) as agents:
        assert wait_until(lambda: all(agents.logged(n, '"agents counted"') for n in range(3)), 40)
        assert wait_until(lambda: all(agents.members(n)["counted"] == 3 for n in range(3)), 40)
        assert agents.admin_command(0, "cordon s0").startswith("+OK")
        assert wait_until(lambda: all(agents.logged(n, '"order heard of"') for n in (1, 2)), 40)
        before = len(backends[0].peers)
        for n in (1, 2):
            for id in range(10):
                answer = (
                    PeerConnection(socket.create_connection(agents.listens[n]))
                    .send(request_bytes(b"r%d" % id))
                    .receive_message()
                )
                assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"s1")
        assert len(backends[0].peers) == before
        # The command line shows the same; and a death is logged with the member that declared it.
        shown = subprocess.run(
            [sys.executable, "-m", "nettledeal", "members", format_address(agents.admins[1]), "--json"],
            capture_output=True,
            text=True,
            env={"PYTHONPATH": SRC},
            check=True,
        )
        assert [member["state"] for member in json.loads(shown.stdout)["members"]] == ["alive"] * 3
        agents.processes[2].kill()
        assert wait_until(lambda: agents.members(0)["counted"] == 2, 40)
        (death,) = agents.logged(0, '"dead"')
        assert death["member"] == "a2" and death["by"] in ("a0", "a1")
        assert agents.admin_command(0, "forget a1").startswith("-ERR")
        assert agents.admin_command(0, "forget a2").startswith("+OK")
        assert wait_until(lambda: agents.members(1)["members"][2]["state"] == "left", 40)


def test_a_new_version_takes_over_the_address_and_the_others_see_one_agent_throughout(tmp_path):
    with Agents(tmp_path, 3, []) as agents:
        assert wait_until(lambda: all(agents.logged(n, '"agents counted"') for n in range(3)), 40)
        agents.admins.append(free_address())
        agents._start(2, admin_addr=format_address(agents.admins[3]))
        assert wait_until(lambda: agents.logged(3, '"started"'), 40)
        assert wait_until(lambda: agents.logged(2, '"processes of this agent"'), 40)
        agents.processes[2].terminate()
        assert wait_until(lambda: agents.logged(3, '"agents counted"'), 40)
        assert agents.processes[2].wait(20) == 0
        for n in (0, 1):
            assert [member["state"] for member in agents.members(n)["members"]] == ["alive"] * 3
            assert not agents.logged(n, '"dead"') and not agents.logged(n, '"left"')


def test_an_agent_without_membership_does_not_load_it():
    code = (
        "import sys, nettledeal.agent; "
        "print([name for name in sys.modules if name.endswith(('membership', 'peers'))])"
    )
    loaded = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        env={"PYTHONPATH": SRC},
        check=True,
    )
    assert loaded.stdout.strip() == "[]"


MEMBERSHIP = {"listen": "127.0.0.1:7946", "seeds": ["127.0.0.1:7946"]}


@pytest.mark.parametrize(
    ("change", "error"),
    [
        ({"seeds": []}, "membership.seeds: none is named"),
        ({"seeds": ["::1:7946"]}, "membership.seeds.0: ::1 is of another family"),
        ({"seeds": ["agents.internal:7946"]}, "membership.seeds.0: 'agents.internal' is no IP address"),
        ({"seeds": ["127.0.0.1"]}, "membership.seeds.0"),
        ({"seeds": ["127.0.0.1:0"]}, "membership.seeds.0: a port is needed"),
        ({"listen": "nowhere"}, "membership.listen"),
        ({"listen": "0.0.0.0:7946"}, "membership.advertise"),
        ({"suspicion_ms": 300}, "membership.suspicion_ms: 300 is not above period_ms"),
        ({"probe_ms": 400}, "membership.period_ms: 400 is not above probe_ms"),
        ({"spread_ms": 0}, "membership.spread_ms"),
        ({"keep_s": 20}, "membership.keep_s"),
        ({"cluster": ""}, "membership.cluster"),
        ({"period": 4}, "membership"),
        ({"period_ms": "soon"}, "membership.period_ms"),
    ],
)
def test_an_error_names_the_invalid_key(change, error):
    file = {
        "name": "a1",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "membership": MEMBERSHIP | change,
    }
    with pytest.raises(ConfigError) as raised:
        configuration.parse_configuration(json.dumps(file).encode(), {})
    assert str(raised.value).startswith(error), raised.value
    assert "\n" not in str(raised.value)


def test_an_agent_with_membership_needs_a_name():
    file = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "membership": MEMBERSHIP}
    with pytest.raises(ConfigError, match="^name: "):
        configuration.parse_configuration(json.dumps(file).encode(), {"EDGE_NAME": "agent"})
