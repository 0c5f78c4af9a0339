"""Starts the processes of one run, generates traffic, injects the scheduled faults and stops all processes.

A `Rig` runs one policy. Every process has loopback addresses of its own, so ports in use elsewhere don't
matter and several rigs can run on one machine. Each process that was started here is killed by its id at the
end; if the rig itself is killed, the kernel kills its children.
"""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from pathlib import Path

import gevent

from nettledeal.fleet.agents import AgentProcesses
from nettledeal.fleet.child_processes import ChildProcess, RunAborted
from nettledeal.fleet.child_runtime import now
from nettledeal.fleet.configurations import ProcessConfigurations
from nettledeal.fleet.experiment import TICKS_PER_SECOND, Experiment
from nettledeal.fleet.fault_injection import FaultInjector
from nettledeal.fleet.fault_schedule import build_schedule
from nettledeal.fleet.loopback_addresses import LoopbackAddresses
from nettledeal.fleet.processor_waits import SAMPLED_EVERY_S, SAMPLED_EVERY_S_EACH, ProcessorWaits
from nettledeal.fleet.workload import ScheduledRequest
from nettledeal.model import Time


class Rig:
    def __init__(
        self,
        experiment: Experiment,
        policy: str | None,
        tree: Path,
        folder: Path,
        requests: list[ScheduledRequest],
        progress: Callable[[str, float], None],
    ):
        self.experiment, self.policy, self.folder = experiment, policy, folder
        self.addresses = LoopbackAddresses()
        self.requests, self.progress = requests, progress
        schedule = build_schedule(experiment)
        self.children: dict[str, ChildProcess] = {}
        self.configurations = ProcessConfigurations(experiment, schedule, self.addresses, policy, folder)
        self.agents = AgentProcesses(experiment, self.configurations, self.addresses, tree, folder)
        self.faults = FaultInjector(schedule, self.configurations, self.agents, self.children, policy)
        self.processor_waits = ProcessorWaits()
        self.failure: str | None = None
        self.start_at: Time = 0
        self.greenlets: list[gevent.Greenlet] = []

    def run(self) -> dict[str, list]:
        """Returns the records by role. Raises RunAborted; either way, all processes have ended."""
        try:
            self._start_children()
            if self.policy is None:
                self.agents.start_all(self.progress)
            self._run()
            return self._collect()
        except OSError as error:
            if error.errno in (errno.EMFILE, errno.ENFILE):
                raise RunAborted(f"the descriptor table is full: {error.strerror}") from None
            raise
        finally:
            self.stop()

    def stop(self) -> None:
        gevent.killall(self._all_greenlets(), block=False)
        self.agents.stop()
        for child in self.children.values():
            child.kill_and_wait()
        self.addresses.lock.close()

    def _all_greenlets(self) -> list[gevent.Greenlet]:
        return self.greenlets + self.faults.greenlets + self.agents.greenlets

    def _start_children(self) -> None:
        self.progress("starting backends", 0.0)
        experiment, configurations = self.experiment, self.configurations
        configurations.held_file.write_bytes(bytes(4 * experiment.backends.count))
        for index in range(experiment.backends.processes):
            self._start_child(f"backends-{index}", configurations.backends(index))
        self._start_child("roster", configurations.roster())
        for index in range(experiment.clients.processes):
            self._start_child(f"clients-{index}", configurations.clients(index, self.requests))
        if (
            configurations.uses_member_proxies or any(configurations.schedule.link_groups)
        ) and self.policy is None:
            self._start_child("switch", {"seed": f"{experiment.seed} switch"})
        for child in self.children.values():
            child.wait_reply()
        if "switch" in self.children:
            self.children["switch"].ask(do="fronts", fronts=configurations.link_proxies())
            self.children["switch"].ask(do="members", members=configurations.member_proxies())

    def _start_child(self, role: str, config: dict) -> None:
        self.children[role] = ChildProcess(role, config, self.folder)

    def _run(self) -> None:
        if self.configurations.cold:
            # Cold from the start of traffic, regardless of how long the agents took to start.
            self.faults.command_backends("chill", tuple(self.configurations.cold))
            started = int(time.time() * 1000)
            self.faults.announce(
                [
                    self.configurations.entry(backend, "ready", started)
                    for backend in sorted(self.configurations.cold)
                ]
            )
        self.start_at = now() + TICKS_PER_SECOND // 2
        clients = [child for role, child in self.children.items() if role.startswith("clients")]
        for child in clients:
            child.tell({"do": "start", "at": self.start_at})
        self.greenlets += [
            gevent.spawn(self._watch_processes),
            gevent.spawn(self._inject_faults),
            gevent.spawn(self._sample_waits),
        ]
        longest_expiry_s = max(c.expiry_ms for c in self.experiment.category) / 1000
        time_limit_s = self.experiment.seconds + longest_expiry_s + 5.0
        while not all(child.finished.is_set() for child in clients):
            elapsed_s = (now() - self.start_at) / TICKS_PER_SECOND
            self.progress("generating traffic", min(1.0, max(0.0, elapsed_s / self.experiment.seconds)))
            if self.failure:
                raise RunAborted(self.failure)
            if elapsed_s > time_limit_s + 30:
                raise RunAborted("clients have not finished long after the last request's deadline")
            gevent.sleep(0.1)

    def _inject_faults(self) -> None:
        self.failure = self.faults.run_schedule(self.start_at) or self.failure

    def _watch_processes(self) -> None:
        """Aborts the run when a process exits unexpectedly."""
        while self.failure is None:
            self.failure = self.agents.unexpected_exit()
            for child in self.children.values():
                if child.process.poll() is not None:
                    self.failure = (
                        f"{child.role} exited with status {child.process.returncode}{child.log_tail()}"
                    )
            gevent.sleep(0.2)

    def _sample_waits(self) -> None:
        pause_s = max(SAMPLED_EVERY_S, SAMPLED_EVERY_S_EACH * self.experiment.agents.count)
        while True:
            self._sample_waits_once()
            gevent.sleep(pause_s)

    def _sample_waits_once(self) -> None:
        for agent, process in list(self.agents.processes.items()):
            self.processor_waits.sample(agent, process.pid, now())

    def _collect(self) -> dict[str, list]:
        self.progress("collecting records", 1.0)
        gevent.killall(self._all_greenlets())
        self._sample_waits_once()
        records: dict[str, list] = {"backends": [], "roster": [], "clients": []}
        for role, child in self.children.items():
            kind = role.partition("-")[0]
            if kind in records:
                records[kind] += child.collect_records()
        records["backends"].sort(key=lambda record: record[0])
        return records
