"""The agent process: assembles its parts, starts, reloads and stops it."""

from __future__ import annotations

import signal

if hasattr(signal, "pthread_sigmask"):
    # Block these signals before the slow imports below: one that arrives before its handler is installed
    # would kill the process while clients wait to be accepted. A blocked signal stays pending until then.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})

import gc
import os
import sys
from random import Random
from typing import TYPE_CHECKING

import gevent
import structlog
from gevent.event import Event

from nettledeal import configuration
from nettledeal.admin_handler import AdminCommandHandler
from nettledeal.configuration import Configuration
from nettledeal.configuration_change import check_replacement
from nettledeal.configuration_files import ConfigError
from nettledeal.handover import LEAVING
from nettledeal.log_setup import configure_log
from nettledeal.net.address import format_address
from nettledeal.net.clock import SECOND, Clock
from nettledeal.net.counters import Counters
from nettledeal.net.protocol.catalogue import Catalogue, CatalogueUpdate, MalformedCatalogue
from nettledeal.net.routing.router import Router
from nettledeal.net.transport.admin_server import AdminServer
from nettledeal.net.transport.backend_pools import BackendPools
from nettledeal.net.transport.budget import ResourceBudgets, split_resources
from nettledeal.net.transport.discovery_watch import DiscoveryWatch
from nettledeal.net.transport.listener import Listener
from nettledeal.policy.balancer import Balancer
from nettledeal.reloading import apply_reload
from nettledeal.sibling_processes import SiblingProcesses

if TYPE_CHECKING:
    from nettledeal.peers import Peers

log = structlog.get_logger()

# Sent by an operator or a supervisor: reload, or stop gracefully.
HANDLED_SIGNALS = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT}
# At shutdown without a successor, new connections are accepted for this long: clients that don't know of the
# shutdown yet arrive for 0.4 s at most. Any longer only extends the time in which nobody serves.
DRAIN_ACCEPT_S = 0.45
# How long a connection must have been idle to be closed, so that a client just accepted can send a request.
IDLE_BEFORE_CLOSE_S = 0.1
# With a successor, idle connections are closed this long before the shutdown deadline.
IDLE_CLOSE_LEAD_S = 0.4
# How long to retry binding: a predecessor that is just stopping may still hold the address.
BIND_TIMEOUT_S = 2.0


class Agent:
    def __init__(self, config: Configuration):
        settings = config.settings
        self.config = config
        self.clock = Clock()
        self.counters = Counters()
        # The other processes of this agent, present during an upgrade.
        self.siblings = SiblingProcesses(config, self.clock, self.counters, self._resize_budgets)
        self.budgets = budgets = self._split_budgets(1)
        connect_timeout = config.setting("allowed.connect_timeout")
        self.pools = BackendPools(
            self.clock,
            self.counters,
            budgets.backends,
            budgets.answers,
            config.longest,
            connect_timeout,
            config.setting("allowed.conn_idle"),
        )
        categories = config.indices_by_name("categories")
        self.catalogue = Catalogue(config.text_list("zones"), config.text_list("kinds"))
        self.router = Router(
            Balancer(config.seed, settings, self.clock.now()),
            self.clock,
            self.counters,
            self.pools,
            categories,
            config.indices_by_name("projects"),
            config.default_timeouts(),
            config.setting("allowed.max_open"),
            probe_timeout=connect_timeout // 4,
            request_reports=config.setting("feedback.via") != "silent",
            subscribe=self._start_discovery_watch,
        )
        self.siblings.attach(self.router)
        self.known_catalogue = self._parse_known_catalogue()
        self.discovery_watch = DiscoveryWatch(
            config.discovery,
            Random(config.seed + 1),
            self.counters,
            self.catalogue,
            self.router.update_catalogue,
            self.router.discovery_lost,
            self.known_catalogue.resume_version if self.known_catalogue else None,
        )
        self.listener = self._open_listener(budgets)
        self.pools.crowded = lambda: self.listener.crowded
        self.stopping = Event()
        self.reload_requested = Event()
        self.peers = self._create_peers()
        self.admin_server = self._open_admin_server()

    def _split_budgets(self, processes: int) -> ResourceBudgets:
        config = self.config
        return split_resources(
            config.sockets // processes,
            config.memory_mb // processes,
            config.admin is not None,
            config.membership is not None,
        )

    def _resize_budgets(self, processes: int) -> None:
        """Share the agent's limits among this many processes from now on."""
        self.budgets.resize_to(self._split_budgets(processes))
        self.pools.trim()

    def _open_listener(self, budgets: ResourceBudgets) -> Listener:
        for _ in range(int(BIND_TIMEOUT_S / 0.1) + 1):
            try:
                return Listener(
                    self.config.listen,
                    self.clock,
                    self.counters,
                    budgets.clients,
                    budgets.requests,
                    self.router.submit,
                    self.router.client_left,
                    self.router.answer_overdue,
                    self.config.longest,
                )
            except OSError as error:
                reason = error.strerror
                gevent.sleep(0.1)
        raise ConfigError(f"listen: {format_address(self.config.listen)}: {reason}")

    def _open_admin_server(self) -> AdminServer | None:
        if self.config.admin is None:
            return None
        handler = AdminCommandHandler(
            self.router, self.listener, self.siblings, self.peers, stopping=self.stopping.is_set
        )
        try:
            return AdminServer(self.config.admin, self.counters, handler.execute)
        except OSError as error:
            raise ConfigError(f"admin_addr: {format_address(self.config.admin)}: {error.strerror}") from None

    def _create_peers(self) -> Peers | None:
        config = self.config
        if config.membership is None:
            return None
        # Imported only where membership is configured; other agents save the memory and the time.
        from nettledeal.peers import Peers

        return Peers(
            config.membership,
            config.name,
            config.settings.get("zone", 0),
            config.seed + 2,
            self.clock,
            self.counters,
            self.router,
            self.siblings.apply_peer_order,
        )

    def _start_discovery_watch(self) -> None:
        self.discovery_watch.start()

    def _parse_known_catalogue(self) -> CatalogueUpdate | None:
        try:
            return self.catalogue.parse(self.config.known) if self.config.known else None
        except MalformedCatalogue as error:
            # Not fatal: the discovery watch soon delivers the current list.
            log.warning("known list garbled", why=str(error))
            return None

    def run(self) -> None:
        self.clock.track_loop()
        self.router.start(self.known_catalogue)
        self.known_catalogue = None
        gevent.spawn(self.router.run)
        # Backends that were cordoned in another process must be cordoned here before the first request.
        self.siblings.sync()
        if self.config.setting("discovery") == "pushed":
            self.discovery_watch.start()
        gevent.spawn(self.listener.run)
        self.siblings.serve()
        if self.admin_server is not None:
            gevent.spawn(self.admin_server.run)
        if self.peers is not None:
            self.peers.start()
        gevent.spawn(self._log_counters_loop)
        gevent.spawn(self._reload_loop)
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self.stopping.set)
        gevent.signal_handler(signal.SIGHUP, self.reload_requested.set)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        # Exclude all objects of the start from later collections: a full one would delay all answers.
        gc.collect()
        gc.freeze()
        log.info("started", agent=self.config.name)
        self.stopping.wait()
        self._stop()
        # The handlers no longer run; a signal from now on must not kill the process before it exits with 0.
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)

    def _stop(self) -> None:
        """Stop accepting clients after a while, and answer all accepted requests before returning."""
        self.siblings.sync()
        has_successor = self.siblings.handover.has_successor
        log.info("stopping", open=len(self.router.open_requests), heir=has_successor)
        self.siblings.handover.own_record.state = LEAVING
        if self.peers is not None:
            self.peers.stop(has_successor)
        deadline = self.clock.now() + int(
            max(self.router.admission.default_timeouts.values(), default=SECOND) + DRAIN_ACCEPT_S * SECOND
        )
        if has_successor:
            self._drain_to_successor(deadline)
        else:
            # Close idle connections now, so that their clients reconnect while the listener is still open.
            self.listener.draining = True
            self.listener.close_idle()
            gevent.sleep(DRAIN_ACCEPT_S)
            # Accept no more, or clients that keep coming would delay the shutdown forever.
            self.listener.close()
        while self.router.busy or self.listener.connections and self.clock.now() < deadline:
            if self.router.busy:
                # A client's own timeout may exceed its category's; allow time to write the answer, too.
                deadline = max(deadline, self.clock.now() + SECOND // 20)
            # Let each connection close itself after checking for a request that has just arrived: one that is
            # cut off by the exit of the process is lost.
            self.listener.close_idle(int(IDLE_BEFORE_CLOSE_S * SECOND))
            gevent.sleep(0.01)
        if self.admin_server is not None:
            self.admin_server.close()
        self.siblings.remove_record()
        log.info("stopped", **self.counters)

    def _drain_to_successor(self, deadline: int) -> None:
        """Move the clients to a successor that serves.

        Connections close after their next answer. Idle ones are closed as late as possible: each that is
        closed just as its client sends a request makes the client send it again."""
        self.listener.hand_over(self.siblings.handover.process_count - 1)
        while self.listener.connections and self.clock.now() < deadline - IDLE_CLOSE_LEAD_S * SECOND:
            gevent.sleep(0.02)
        self.listener.close_idle()

    def _reload_loop(self) -> None:
        """Reload on SIGHUP. Signals that arrive during a reload together cause one more."""
        while True:
            self.reload_requested.wait()
            self.reload_requested.clear()
            try:
                self._reload()
            except ConfigError as error:
                log.error("reload refused, the old configuration stays in force", why=str(error))
            except Exception:
                self.counters.record_exception("reload")

    def _reload(self) -> None:
        """Apply the configuration file as it is now; the whole file is checked before anything changes."""
        new = configuration.read_configuration(os.environ)
        check_replacement(self.config, new)
        overlay = self.peers.overlay() if self.peers is not None else {}
        self.config = apply_reload(self.config, new, self.router, self.discovery_watch, overlay)

    def _log_counters_loop(self) -> None:
        last_logged: dict[str, int] = {}
        while True:
            gevent.sleep(10.0)
            if self.counters != last_logged:
                last_logged = dict(self.counters)
                log.info("counted", **last_logged)


def main() -> int:
    try:
        config = configuration.read_configuration(os.environ)
        configure_log(config.log_level)
        agent = Agent(config)
    except ConfigError as error:
        print(f"nettledeal: {error}", file=sys.stderr)
        return 2
    agent.run()
    return 0
