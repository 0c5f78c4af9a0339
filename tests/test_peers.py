"""Real agents that talk with each other: counted, told of cordons, asked at their doors; and what is
refused."""

import json
import subprocess
import sys

import gevent
import pytest
from helpers import Far, Peer, asked, free_place, replies, served, socket, until
from test_program import SRC, start

from nettledeal import configuration, peers
from nettledeal.configuration_files import ConfigError
from nettledeal.membership.dealing import deal
from nettledeal.net.address import format_address

CATEGORY = {"name": "b", "effect": "safe", "expiry": 4_000_000_000, "due_time": 1_000_000_000}


def test_parts_are_dealt_anew_only_once_somebody_has_come_or_gone(monkeypatch):
    worked_out = []

    def counted(agents, backends, width):
        worked_out.append((agents, backends, width))
        return deal(agents, backends, width)

    monkeypatch.setattr(peers, "deal", counted)
    peers.dealt_out.cache_clear()
    agents, backends = ("a0", "a1", "a2"), tuple(f"b{n}" for n in range(9))
    first = peers.dealt_out(agents, backends, 2)
    # Both groups of a look, look after look.
    for _ in range(3):
        assert peers.dealt_out(agents, backends, 2) == first == deal(agents, backends, 2)
        peers.dealt_out(agents, ("c0", "c1"), 1)
    assert len(worked_out) == 2
    assert peers.dealt_out(agents[:2], backends, 2) == deal(agents[:2], backends, 2)
    assert peers.dealt_out(agents, backends[1:], 2) == deal(agents, backends[1:], 2)
    assert len(worked_out) == 4


def places(count, host="127.77.0.{}"):
    """Of one port that is free at all of these hosts: nobody else is there."""
    return [(host.format(1 + n), 7946) for n in range(count)]


class Agents:
    def __init__(self, tmp_path, count, fars):
        self.doors, self.listens, self.lines, self.processes, self.told_of = [], [], [], [], []
        talk = [(place[0], free_place()[1]) for place in places(count)]
        entries = [
            {"instanceId": f"s{n}", "hostPort": format_address(far.address), "zone": "a", "startedAtMs": 0}
            for n, far in enumerate(fars)
        ]
        for n in range(count):
            folder = tmp_path / f"a{n}"
            folder.mkdir()
            self.doors.append(free_place())
            self.listens.append(free_place())
            told = {
                "name": f"a{n}",
                "listen": format_address(self.listens[n]),
                "discovery": "127.0.0.1:1",
                "seed": "5",
                "admin_addr": format_address(self.doors[n]),
                "log_level": "info",
                "known": {"generation": 1, "reset": True, "instances": entries},
                "membership": {
                    "listen": format_address(talk[n]),
                    "seeds": [format_address(talk[0])],
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
            self.told_of.append((folder, told))
            self._begin(n)

    def _begin(self, n, **changes):
        folder, told = self.told_of[n]
        process = start(folder, json.dumps(told | changes).encode(), TMPDIR=str(folder))
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

    def order(self, n, line):
        with socket.create_connection(self.doors[n]) as sock:
            sock.sendall(line.encode() + b"\n")
            return b"".join(iter(lambda: sock.recv(65536), b"")).decode()

    def members(self, n):
        said = self.order(n, "members")
        assert said.startswith("+OK "), said
        return json.loads(said[4:])

    def told(self, n, text):
        return [json.loads(line) for line in self.lines[n] if text in line]


def test_agents_count_each_other_and_a_cordon_given_to_one_binds_all(tmp_path):
    fars = [Far(replies(served(b"s%d" % n))) for n in range(2)]
    with Agents(tmp_path, 3, fars) as agents:
        assert until(lambda: all(agents.told(n, '"agents counted"') for n in range(3)), 40)
        assert until(lambda: all(agents.members(n)["counted"] == 3 for n in range(3)), 40)
        assert agents.order(0, "cordon s0").startswith("+OK")
        assert until(lambda: all(agents.told(n, '"order heard of"') for n in (1, 2)), 40)
        before = len(fars[0].peers)
        for n in (1, 2):
            for id in range(10):
                heard = Peer(socket.create_connection(agents.listens[n])).send(asked(b"r%d" % id)).hear()
                assert heard.startswith(b"HTTP/1.1 200") and heard.endswith(b"s1")
        assert len(fars[0].peers) == before
        # The same by the command line; and one that dies is told as such, with who accused it.
        shown = subprocess.run(
            [sys.executable, "-m", "nettledeal", "members", format_address(agents.doors[1]), "--json"],
            capture_output=True,
            text=True,
            env={"PYTHONPATH": SRC},
            check=True,
        )
        assert [one["state"] for one in json.loads(shown.stdout)["members"]] == ["alive"] * 3
        agents.processes[2].kill()
        assert until(lambda: agents.members(0)["counted"] == 2, 40)
        (death,) = agents.told(0, '"dead"')
        assert death["member"] == "a2" and death["by"] in ("a0", "a1")
        assert agents.order(0, "forget a1").startswith("-ERR")
        assert agents.order(0, "forget a2").startswith("+OK")
        assert until(lambda: agents.members(1)["members"][2]["state"] == "left", 40)


def test_a_new_version_takes_the_address_over_and_the_others_see_one_agent_all_along(tmp_path):
    with Agents(tmp_path, 3, []) as agents:
        assert until(lambda: all(agents.told(n, '"agents counted"') for n in range(3)), 40)
        agents.doors.append(free_place())
        agents._begin(2, admin_addr=format_address(agents.doors[3]))
        assert until(lambda: agents.told(3, '"started"'), 40)
        assert until(lambda: agents.told(2, '"processes of this agent"'), 40)
        agents.processes[2].terminate()
        assert until(lambda: agents.told(3, '"agents counted"'), 40)
        assert agents.processes[2].wait(20) == 0
        for n in (0, 1):
            assert [one["state"] for one in agents.members(n)["members"]] == ["alive"] * 3
            assert not agents.told(n, '"dead"') and not agents.told(n, '"left"')


def test_an_agent_that_does_not_talk_loads_none_of_it():
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


TALK = {"listen": "127.0.0.1:7946", "seeds": ["127.0.0.1:7946"]}


@pytest.mark.parametrize(
    ("change", "fault"),
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
def test_a_fault_in_its_keys_is_named(change, fault):
    told = {"name": "a1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "membership": TALK | change}
    with pytest.raises(ConfigError) as found:
        configuration.check(json.dumps(told).encode(), {})
    assert str(found.value).startswith(fault), found.value
    assert "\n" not in str(found.value)


def test_agents_that_talk_need_a_name():
    told = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "membership": TALK}
    with pytest.raises(ConfigError, match="^name: "):
        configuration.check(json.dumps(told).encode(), {"EDGE_NAME": "agent"})
