"""The agent as a program: wires it together, starts it, reloads it, stops it."""

from __future__ import annotations

import signal

if hasattr(signal, "pthread_sigmask"):
    # Before all else is imported, which takes a while: an order to reload or to end that comes before anybody
    # can follow it would end the process at once, with clients waiting to be met. It is kept until then.
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
from nettledeal.admin_orders import AdminOrders
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
from nettledeal.reloading import put_in_force
from nettledeal.siblings import Siblings

if TYPE_CHECKING:
    from nettledeal.peers import Peers

log = structlog.get_logger()

# What an operator or a supervisor sends.
ORDERS = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT}
# Clients that have not heard of the end yet come for 0.4 s at most; those just met have a moment more
# to ask. Each tenth more is one in which nobody serves.
LINGER = 0.45
LAST_CALL = 0.1
# Connections that rest are ended so long before the end, once a successor serves.
RESTING = 0.4
# A forerunner that is just ending may still hold the address.
BIND_WITHIN = 2.0


class Agent:
    def __init__(self, config: Configuration):
        settings = config.settings
        self.config = config
        self.clock = Clock()
        self.counters = Counters()
        # Other processes of this agent: a version that goes, or one that comes.
        self.siblings = Siblings(config, self.clock, self.counters, self._share)
        self.within = within = self._within(1)
        connect_within = config.setting("allowed.connect_timeout")
        self.pools = BackendPools(
            self.clock,
            self.counters,
            within.backends,
            within.answers,
            config.longest,
            connect_within,
            config.setting("allowed.conn_idle"),
        )
        categories = config.numbers("categories")
        self.catalogue = Catalogue(config.text("zones"), config.text("kinds"))
        self.router = Router(
            Balancer(config.seed, settings, self.clock.now()),
            self.clock,
            self.counters,
            self.pools,
            categories,
            config.numbers("projects"),
            config.waits(),
            config.setting("allowed.max_open"),
            probe_timeout=connect_within // 4,
            request_reports=config.setting("feedback.via") != "silent",
            subscribe=self._subscribe,
        )
        self.siblings.attach(self.router)
        self.known = self._known()
        self.discovery_watch = DiscoveryWatch(
            config.discovery,
            Random(config.seed + 1),
            self.counters,
            self.catalogue,
            self.router.update_catalogue,
            self.router.discovery_lost,
            self.known.resume_version if self.known else None,
        )
        self.listener = self._listener(within)
        self.pools.crowded = lambda: self.listener.crowded
        self.stopping = Event()
        self.called = Event()  # to reload
        self.peers = self._peers()
        self.admin_server = self._admin_server()

    def _within(self, processes: int) -> ResourceBudgets:
        config = self.config
        return split_resources(
            config.sockets // processes,
            config.memory_mb // processes,
            config.admin is not None,
            config.membership is not None,
        )

    def _share(self, processes: int) -> None:
        """So many processes are this agent from here on, and divide what it may hold."""
        self.within.resize_to(self._within(processes))
        self.pools.trim()

    def _listener(self, within: ResourceBudgets) -> Listener:
        for _ in range(int(BIND_WITHIN / 0.1) + 1):
            try:
                return Listener(
                    self.config.listen,
                    self.clock,
                    self.counters,
                    within.clients,
                    within.requests,
                    self.router.submit,
                    self.router.client_left,
                    self.router.answer_overdue,
                    self.config.longest,
                )
            except OSError as fault:
                why = fault.strerror
                gevent.sleep(0.1)
        raise ConfigError(f"listen: {format_address(self.config.listen)}: {why}")

    def _admin_server(self) -> AdminServer | None:
        if self.config.admin is None:
            return None
        orders = AdminOrders(
            self.router, self.listener, self.siblings, self.peers, stopping=self.stopping.is_set
        )
        try:
            return AdminServer(self.config.admin, self.counters, orders.carry_out)
        except OSError as fault:
            raise ConfigError(f"admin_addr: {format_address(self.config.admin)}: {fault.strerror}") from None

    def _peers(self) -> Peers | None:
        config = self.config
        if config.membership is None:
            return None
        # Loaded only where agents may talk: the others pay nothing for it.
        from nettledeal.peers import Peers

        return Peers(
            config.membership,
            config.name,
            config.settings.get("zone", 0),
            config.seed + 2,
            self.clock,
            self.counters,
            self.router,
            self.siblings.heard_of,
        )

    def _subscribe(self) -> None:
        self.discovery_watch.start()

    def _known(self) -> CatalogueUpdate | None:
        try:
            return self.catalogue.parse(self.config.known) if self.config.known else None
        except MalformedCatalogue as fault:
            # The list itself comes in a moment.
            log.warning("known list garbled", why=str(fault))
            return None

    def run(self) -> None:
        self.clock.track_loop()
        self.router.start(self.known)
        self.known = None
        gevent.spawn(self.router.run)
        # What another process was told to leave out is left out from the first work item on.
        self.siblings.meet()
        if self.config.setting("discovery") == "pushed":
            self.discovery_watch.start()
        gevent.spawn(self.listener.run)
        self.siblings.serve()
        if self.admin_server is not None:
            gevent.spawn(self.admin_server.run)
        if self.peers is not None:
            self.peers.start()
        gevent.spawn(self._tell)
        gevent.spawn(self._reloads)
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self.stopping.set)
        gevent.signal_handler(signal.SIGHUP, self.called.set)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, ORDERS)
        # What lives from here on is not looked at again: a full collection would hold up all answers.
        gc.collect()
        gc.freeze()
        log.info("started", agent=self.config.name)
        self.stopping.wait()
        self._stop()
        # Nobody is left to follow another order; the end must not turn into a death by it.
        signal.pthread_sigmask(signal.SIG_BLOCK, ORDERS)

    def _stop(self) -> None:
        """Clients come for a while yet, and what has been taken is answered before the end."""
        self.siblings.meet()
        heir = self.siblings.handover.heir
        log.info("stopping", open=len(self.router.open_requests), heir=heir)
        self.siblings.handover.me.state = LEAVING
        if self.peers is not None:
            self.peers.stop(heir)
        end = self.clock.now() + int(
            max(self.router.admission.default_timeouts.values(), default=SECOND) + LINGER * SECOND
        )
        if heir:
            self._give_way(end)
        else:
            # Connections that rest end now: their clients come anew while the listener still stands.
            self.listener.draining = True
            self.listener.close_idle()
            gevent.sleep(LINGER)
            # Nobody new from here on, or those who still come would put off the end for ever.
            self.listener.close()
        while self.router.busy or self.listener.connections and self.clock.now() < end:
            if self.router.busy:
                # A client may wait longer than its category does; its answer has yet to be written, too.
                end = max(end, self.clock.now() + SECOND // 20)
            # Each ends by itself, once it has looked whether something has come: what the end of the process
            # cuts off is lost.
            self.listener.close_idle(int(LAST_CALL * SECOND))
            gevent.sleep(0.01)
        if self.admin_server is not None:
            self.admin_server.close()
        self.siblings.clear()
        log.info("stopped", **self.counters)

    def _give_way(self, end: int) -> None:
        """To a successor that serves: connections end with their next answer, and those that rest late, as
        each that is ended just when its client asks costs a request its way."""
        self.listener.hand_over(self.siblings.handover.processes - 1)
        while self.listener.connections and self.clock.now() < end - RESTING * SECOND:
            gevent.sleep(0.02)
        self.listener.close_idle()

    def _reloads(self) -> None:
        """Orders that come while one is followed add up to one more: the file is read as it then is."""
        while True:
            self.called.wait()
            self.called.clear()
            try:
                self._reload()
            except ConfigError as fault:
                log.error("reload refused, the old configuration stays in force", why=str(fault))
            except Exception:
                self.counters.record_exception("reload")

    def _reload(self) -> None:
        """The whole file is checked before anything is touched."""
        new = configuration.read(os.environ)
        check_replacement(self.config, new)
        overlay = self.peers.overlay() if self.peers is not None else {}
        self.config = put_in_force(self.config, new, self.router, self.discovery_watch, overlay)

    def _tell(self) -> None:
        said: dict[str, int] = {}
        while True:
            gevent.sleep(10.0)
            if self.counters != said:
                said = dict(self.counters)
                log.info("counted", **said)


def main() -> int:
    try:
        config = configuration.read(os.environ)
        configure_log(config.log_level)
        agent = Agent(config)
    except ConfigError as fault:
        print(f"nettledeal: {fault}", file=sys.stderr)
        return 2
    agent.run()
    return 0
